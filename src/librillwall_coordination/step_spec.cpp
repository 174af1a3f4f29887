/// \file
/// The name of a step's duty and the digest of its specification.

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>

#include "rillwall/step.h"

namespace rillwall {

namespace {

/// Hashes texts with their sizes, so that different lists of fields do not
/// yield the same input.
class FieldHash {
 public:
  FieldHash() : mState(XXH3_createState()) { XXH3_128bits_reset(mState); }
  ~FieldHash() { XXH3_freeState(mState); }
  FieldHash(const FieldHash&) = delete;
  FieldHash& operator=(const FieldHash&) = delete;

  void Add(int64_t aValue) {
    std::array<unsigned char, sizeof(uint64_t)> bytes{};
    constexpr int kBitsPerByte = 8;
    auto rest = static_cast<uint64_t>(aValue);
    for (unsigned char& byte : bytes) {
      byte = static_cast<unsigned char>(rest);
      rest >>= kBitsPerByte;
    }
    XXH3_128bits_update(mState, bytes.data(), bytes.size());
  }

  void Add(std::string_view aText) {
    Add(static_cast<int64_t>(aText.size()));
    XXH3_128bits_update(mState, aText.data(), aText.size());
  }

  std::string Hex() const {
    const XXH128_hash_t hash = XXH3_128bits_digest(mState);
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
  }

 private:
  XXH3_state_t* mState;
};

}  // namespace

std::string StepId::Duty() const {
  return "step/" + mTrainer + "/" + std::to_string(mStep);
}

std::string StepSpec::Digest() const {
  FieldHash hash;
  hash.Add(std::string_view(mId.mTrainer));
  hash.Add(static_cast<int64_t>(mId.mStep));
  hash.Add(mGroupSize);
  hash.Add(mMaxTokens);
  hash.Add(mSeed);
  hash.Add(static_cast<int64_t>(mPrompts.size()));
  for (const std::string& prompt : mPrompts) {
    hash.Add(std::string_view(prompt));
  }
  return hash.Hex();
}

}  // namespace rillwall
