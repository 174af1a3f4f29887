#include "rillwall/policy_document.h"

#include <algorithm>

#include "rillwall/json.h"

namespace rillwall {

namespace {

// Enough to look up the outcome of any write whose response was lost, and to
// show operators the history.
constexpr size_t kMaxChanges = 128;

Error Malformed(const std::string& aCause) {
  return Error(ErrorKind::BadRequest,
               "The policy document cannot be read: " + aCause + ".");
}

json::object EncodeChange(const PolicyChange& aChange) {
  json::object change;
  change["revision"] = aChange.mRevision;
  change["name"] = aChange.mName;
  change["removed"] = aChange.mRemoved;
  change["author"] = aChange.mAuthor;
  change["nonce"] = aChange.mNonce;
  return change;
}

Result<PolicyChange> DecodeChange(const json::value& aValue) {
  if (!aValue.is_object()) {
    return Malformed("a change is not an object");
  }
  JsonReader reader(aValue.as_object(), "changes[]");
  PolicyChange change;
  change.mRevision = reader.Uint("revision");
  change.mName = reader.String("name");
  change.mRemoved = reader.Bool("removed");
  change.mAuthor = reader.String("author");
  change.mNonce = reader.String("nonce");
  if (reader.Failed()) {
    return reader.Failure();
  }
  return change;
}

}  // namespace

Result<PolicyDocument> PolicyDocument::With(const PolicyChange& aChange,
                                            const std::string& aProgram) const {
  PolicySource source;
  source.mName = aChange.mName;
  source.mProgram = aProgram;
  source.mAuthor = aChange.mAuthor;
  Result<PolicySet> set = aChange.mRemoved ? mSet.Without(aChange.mName)
                                           : mSet.With(std::move(source));
  if (!set) {
    return set.error();
  }
  PolicyDocument next;
  next.mSet = std::move(*set);
  next.mChanges = mChanges;
  next.mChanges.push_back(aChange);
  next.mChanges.back().mRevision = next.mSet.Revision();
  if (next.mChanges.size() > kMaxChanges) {
    next.mChanges.erase(next.mChanges.begin());
  }
  return next;
}

const PolicyChange* PolicyDocument::FindNonce(std::string_view aNonce) const {
  const auto found = std::ranges::find(mChanges, aNonce, &PolicyChange::mNonce);
  return found == mChanges.end() ? nullptr : &*found;
}

const PolicyChange* PolicyDocument::FindRevision(uint64_t aRevision) const {
  const auto found =
      std::ranges::find(mChanges, aRevision, &PolicyChange::mRevision);
  return found == mChanges.end() ? nullptr : &*found;
}

std::string PolicyDocument::Encode() const {
  json::object document;
  document["set"] = mSet.Encode();
  json::array& changes = document["changes"].emplace_array();
  for (const PolicyChange& change : mChanges) {
    changes.push_back(EncodeChange(change));
  }
  return json::serialize(document);
}

Result<PolicyDocument> PolicyDocument::Decode(std::string_view aText) {
  const Result<json::object> object = ParseJsonObject(aText);
  if (!object) {
    return object.error();
  }
  JsonReader reader(*object);
  const std::string text = reader.String("set");
  const json::array* changes = reader.Array("changes");
  if (reader.Failed()) {
    return reader.Failure();
  }
  if (changes == nullptr) {
    return Malformed("the changes are missing");
  }
  Result<PolicySet> set = PolicySet::Decode(text);
  if (!set) {
    return set.error();
  }
  PolicyDocument document;
  document.mSet = std::move(*set);
  for (const json::value& entry : *changes) {
    Result<PolicyChange> change = DecodeChange(entry);
    if (!change) {
      return change.error();
    }
    document.mChanges.push_back(std::move(*change));
  }
  return document;
}

}  // namespace rillwall
