/// \file
/// What makes two requests the same, whoever sends them where and under which
/// identity: method, host, path and query, client account, and body.
///
/// The identity of an attempt and its time limit differ each time and are left
/// out; so is the service, which the operator may change while the request
/// stays what it is. SHA-256, cut to 16 bytes: nobody can make a request that
/// is taken for another account's, and no key has to be shared by the hosts.
/// A digest costs 0.4 us without a body, 1.0 us with one of 600 bytes, 96 us
/// with one of 100 KB (crash_table_bench), and is worked out only while some
/// request is suspected, for one that a replica lost, and for each stream.
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

/// The parts of a request that its digest is made of.
struct RequestParts {
  std::string_view mMethod;
  std::string_view mHost;     ///< value of the Host header
  std::string_view mTarget;   ///< path and query
  std::string_view mAccount;  ///< client account; empty: none
  std::string_view mBody;
};

class RequestDigest {
 public:
  RequestDigest() = default;
  /// Works the digest out.
  explicit RequestDigest(const RequestParts& aParts);
  /// \param aText as Text() gives it
  /// \return nothing if it is no such text
  static std::optional<RequestDigest> Parse(std::string_view aText);
  /// \return 32 hexadecimal digits
  std::string Text() const;

  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RequestDigest&) const = default;

 private:
  static constexpr size_t kBytes = 16;
  std::array<unsigned char, kBytes> mBytes{};
};

}  // namespace rillwall
