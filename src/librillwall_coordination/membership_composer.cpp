#include "membership_composer.h"

#include <algorithm>
#include <cassert>

namespace rillwall {

namespace {

/// Appends a record that fits and is not there yet.
/// \param aRecord may be nullptr
/// \param aKey the member that names a record
template <class Record>
void Append(const Record* aRecord, std::string Record::*aKey,
            std::vector<Record>& aRecords, size_t& aRoom) {
  if (aRecord == nullptr || EstimateBytes(*aRecord) > aRoom) {
    return;
  }
  const bool isPut = std::any_of(
      aRecords.begin(), aRecords.end(),
      [&](const Record& aOther) { return aOther.*aKey == aRecord->*aKey; });
  if (!isPut) {
    aRoom -= EstimateBytes(*aRecord);
    aRecords.push_back(*aRecord);
  }
}

}  // namespace

void GossipComposer::Add(const Member& aMember) {
  mNews.Add({NewsKey::Kind::Member, aMember.mId}, EstimateBytes(aMember));
}

void GossipComposer::Add(const Fact& aFact) {
  const size_t bytes = EstimateBytes(aFact);
  if (bytes <= mMaxNewsBytes) {
    mNews.Add({NewsKey::Kind::Fact, aFact.mKey}, bytes);
  }
}

GossipDatagram GossipComposer::Compose(const GossipHead& aHead,
                                       const std::vector<NewsKey>& aFirst) {
  GossipDatagram send;
  send.mTo = aHead.mTo;
  send.mMessage.mKind = aHead.mKind;
  send.mMessage.mFrom = mTable.Self().mId;
  send.mMessage.mTarget = aHead.mTarget;
  send.mMessage.mSequence = aHead.mSequence;
  size_t room = mMaxNewsBytes;
  for (const NewsKey& key : aFirst) {
    Put(key, send.mMessage, room);
  }
  const size_t limit = SendLimit(mTable.CountPresent());
  for (const NewsKey& key : mNews.Take(room, limit)) {
    Put(key, send.mMessage, room);
  }
  assert(room <= mMaxNewsBytes);
  return send;
}

void GossipComposer::Put(const NewsKey& aKey, GossipMessage& aMessage,
                         size_t& aRoom) const {
  if (aKey.mKind == NewsKey::Kind::Fact) {
    Append(mFacts.Find(aKey.mName), &Fact::mKey, aMessage.mFacts, aRoom);
    return;
  }
  const MemberEntry* entry = mTable.Find(aKey.mName);
  // Others may have forgotten long ago who is unconfirmed here.
  if (entry != nullptr && !entry->mUnconfirmed) {
    Append(&entry->mMember, &Member::mId, aMessage.mMembers, aRoom);
  }
}

}  // namespace rillwall
