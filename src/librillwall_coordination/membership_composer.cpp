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
            std::vector<Record>& aRecords, size_t& aBytesLeft) {
  if (aRecord == nullptr || EstimateBytes(*aRecord) > aBytesLeft) {
    return;
  }
  const bool isIncluded = std::any_of(
      aRecords.begin(), aRecords.end(),
      [&](const Record& aOther) { return aOther.*aKey == aRecord->*aKey; });
  if (!isIncluded) {
    aBytesLeft -= EstimateBytes(*aRecord);
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
    const GossipHeader& aHeader, const std::vector<UpdateKey>& aPriority) {
  GossipDatagram datagram;
  datagram.mTo = aHeader.mTo;
  datagram.mMessage.mKind = aHeader.mKind;
  datagram.mMessage.mFrom = mTable.Self().mId;
  datagram.mMessage.mTarget = aHeader.mTarget;
  datagram.mMessage.mSequence = aHeader.mSequence;
  size_t bytesLeft = mMaxUpdateBytes;
  for (const UpdateKey& key : aPriority) {
    AppendRecord(key, datagram.mMessage, bytesLeft);
  }
  const size_t limit = SendLimit(mTable.CountPresent());
  for (const UpdateKey& key : mUpdates.Take(bytesLeft, limit)) {
    AppendRecord(key, datagram.mMessage, bytesLeft);
  }
  assert(bytesLeft <= mMaxUpdateBytes);
  return datagram;
}

void GossipComposer::AppendRecord(const UpdateKey& aKey,
                                  GossipMessage& aMessage,
                                  size_t& aBytesLeft) const {
  if (aKey.mKind == UpdateKey::Kind::Fact) {
    Append(mFacts.Find(aKey.mName), &Fact::mKey, aMessage.mFacts, aBytesLeft);
    return;
  }
  const MemberEntry* entry = mTable.Find(aKey.mName);
  // An unconfirmed member is not sent: other nodes may have removed it long
  // ago.
  if (entry != nullptr && !entry->mUnconfirmed) {
    Append(&entry->mMember, &Member::mId, aMessage.mMembers, aBytesLeft);
  }
}

}  // namespace rillwall
