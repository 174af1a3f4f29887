/// \file
/// Digest that identifies equal requests: method, host, path and query, client
/// account and body.
///
/// It leaves out the identity and the time limit of an attempt, which differ
/// each time, and the service, which the operator may change while the request
/// stays the same. It is SHA-256 truncated to 16 bytes: nobody can craft a
/// request with the digest of another account's request, and hosts need not
/// share a key. A digest costs 0.4 us without a body, 1.0 us with one of 600
/// bytes and 96 us with one of 100 KB (crash_table_bench). It is computed only
/// while there are suspected requests, for a request that a replica lost, and
/// for each stream.
///
/// Pure: no I/O and no clock.

#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rillwall {

/// Parts of a request that enter its digest.
struct RequestParts {
  std::string_view mMethod;
  std::string_view mHost;     ///< value of the Host header
  std::string_view mTarget;   ///< path and query
  std::string_view mAccount;  ///< client account; empty if none
  std::string_view mBody;
};

/// Digest of a request; all zeros if default-constructed.
class RequestDigest {
 public:
  RequestDigest() = default;
  /// Computes the digest.
  explicit RequestDigest(const RequestParts& aParts);
  /// \param aText result of Text()
  /// \return nothing if aText is invalid
  static std::optional<RequestDigest> Parse(std::string_view aText);
  /// \return 32 lowercase hexadecimal digits
  std::string Text() const;

  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RequestDigest&) const = default;

 private:
  static constexpr size_t kBytes = 16;
  std::array<unsigned char, kBytes> mBytes{};
};

}  // namespace rillwall
