/// \file
/// The one value that holds all policies: the set and its latest changes.
///
/// It is kept under one key of the key-value service and copied between nodes.
/// Each change carries a nonce, so that a writer whose answer was lost finds
/// out by reading back whether its change took effect.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rillwall/policy.h"

namespace rillwall {

/// One accepted change of the policies.
struct PolicyChange {
  uint64_t mRevision = 0;  ///< of the set that it made
  std::string mName;       ///< the policy
  bool mRemoved = false;
  std::string mAuthor;
  std::string mNonce;
  bool operator==(const PolicyChange&) const = default;
};

struct PolicyDocument {
  PolicySet mSet;
  std::vector<PolicyChange> mChanges;  ///< oldest first, bounded

  /// \return the document with the change's policy replaced or removed
  Result<PolicyDocument> With(const PolicyChange& aChange,
                              const std::string& aProgram) const;
  /// \return the change that carries this nonce, or nullptr
  const PolicyChange* FindNonce(std::string_view aNonce) const;
  /// \return the change that made this revision, or nullptr
  const PolicyChange* FindRevision(uint64_t aRevision) const;
  std::string Encode() const;
  static Result<PolicyDocument> Decode(std::string_view aText);
  bool operator==(const PolicyDocument&) const = default;
};

}  // namespace rillwall
