#include "membership_composer.h"

#include <algorithm>
#include <cassert>

namespace rillwall {

namespace {

/// Appends a record if it fits and is not included yet.
/// \param aRecord may be nullptr
/// \param aKey data member that identifies a record
template <class Record>
void Append(const Record* aRecord, std::string Record::*aKey,
            std::vector<Record>& aRecords, size_t& aRoom) {
  if (aRecord == nullptr || EstimateBytes(*aRecord) > aRoom) {
    return;
  }
  const bool isIncluded = std::any_of(
      aRecords.begin(), aRecords.end(),
      [&](const Record& aOther) { return aOther.*aKey == aRecord->*aKey; });
  if (!isIncluded) {
    aRoom -= EstimateBytes(*aRecord);
    aRecords.push_back(*aRecord);
  }
}

}  // namespace

void GossipComposer::Add(const Member& aMember) {
  mUpdates.Add({UpdateKey::Kind::Member, aMember.mId}, EstimateBytes(aMember));
}

void GossipComposer::Add(const Fact& aFact) {
  const size_t bytes = EstimateBytes(aFact);
  if (bytes <= mMaxUpdateBytes) {
    mUpdates.Add({UpdateKey::Kind::Fact, aFact.mKey}, bytes);
  }
}

GossipDatagram GossipComposer::Compose(
    const GossipHeader& aHead, const std::vector<UpdateKey>& aPriority) {
  GossipDatagram send;
  send.mTo = aHead.mTo;
  send.mMessage.mKind = aHead.mKind;
  send.mMessage.mFrom = mTable.Self().mId;
  send.mMessage.mTarget = aHead.mTarget;
  send.mMessage.mSequence = aHead.mSequence;
  size_t room = mMaxUpdateBytes;
  for (const UpdateKey& key : aPriority) {
    AppendRecord(key, send.mMessage, room);
  }
  const size_t limit = SendLimit(mTable.CountPresent());
  for (const UpdateKey& key : mUpdates.Take(room, limit)) {
    AppendRecord(key, send.mMessage, room);
  }
  assert(room <= mMaxUpdateBytes);
  return send;
}

void GossipComposer::AppendRecord(const UpdateKey& aKey,
                                  GossipMessage& aMessage,
                                  size_t& aRoom) const {
  if (aKey.mKind == UpdateKey::Kind::Fact) {
    Append(mFacts.Find(aKey.mName), &Fact::mKey, aMessage.mFacts, aRoom);
    return;
  }
  const MemberEntry* entry = mTable.Find(aKey.mName);
  // An unconfirmed member is not sent: other nodes may have removed it long
  // ago.
  if (entry != nullptr && !entry->mUnconfirmed) {
    Append(&entry->mMember, &Member::mId, aMessage.mMembers, aRoom);
  }
}

}  // namespace rillwall
