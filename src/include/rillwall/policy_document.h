/// \file
/// The policy document: the set of all policies and its latest changes.
///
/// The document is one value of the key-value service and is replicated between
/// nodes. Each change carries a nonce, so that a writer that lost the response
/// of its write can read the document back and see whether the change took
/// effect.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rillwall/policy.h"

namespace rillwall {

/// One accepted change of the policies.
struct PolicyChange {
  uint64_t mRevision = 0;  ///< revision of the set after the change
  std::string mName;       ///< name of the changed policy
  bool mRemoved = false;   ///< removed, else added or replaced
  std::string mAuthor;
  std::string mNonce;  ///< unique per change
  bool operator==(const PolicyChange&) const = default;
};

/// The set of policies with its change history.
struct PolicyDocument {
  PolicySet mSet;
  std::vector<PolicyChange> mChanges;  ///< oldest first, bounded

  /// Applies a change.
  /// \param aProgram source of the policy; ignored for a removal
  /// \return the document with the policy added, replaced or removed
  Result<PolicyDocument> With(const PolicyChange& aChange,
                              const std::string& aProgram) const;
  /// \return the change with this nonce, or nullptr
  const PolicyChange* FindNonce(std::string_view aNonce) const;
  /// \return the change that created this revision, or nullptr
  const PolicyChange* FindRevision(uint64_t aRevision) const;
  /// \return the document as JSON text
  std::string Encode() const;
  static Result<PolicyDocument> Decode(std::string_view aText);
  bool operator==(const PolicyDocument&) const = default;
};

}  // namespace rillwall
