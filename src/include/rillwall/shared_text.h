/// \file
/// An immutable text whose copies share their bytes.
///
/// A request's body is copied for each try at an upstream and for each host
/// that it is forwarded to. All these copies are one block of memory, whose
/// charge is returned with the last of them.

#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "rillwall/memory_budget.h"

namespace rillwall {

/// An immutable text; converts from and to the standard types.
class SharedText {
 public:
  SharedText() = default;
  // Conversions are implicit, so that a body is assigned and read as a text.
  // NOLINTBEGIN(google-explicit-constructor,hicpp-explicit-conversions)
  SharedText(std::string aText) : SharedText(std::move(aText), {}) {}
  SharedText(const char* aText) : SharedText(std::string(aText)) {}
  operator const std::string&() const { return Text(); }
  operator std::string_view() const { return Text(); }
  // NOLINTEND(google-explicit-constructor,hicpp-explicit-conversions)

  /// \param aCharge for the text, held as long as any copy of it
  SharedText(std::string aText, MemoryCharge aCharge) {
    if (!aText.empty()) {
      mHeld = std::make_shared<const Held>(
          Held{std::move(aText), std::move(aCharge)});
    }
  }

  const std::string& Text() const {
    static const std::string kEmpty;
    return mHeld ? mHeld->mText : kEmpty;
  }
  // Names of the standard library.
  // NOLINTBEGIN(readability-identifier-naming)
  size_t size() const { return Text().size(); }
  bool empty() const { return mHeld == nullptr; }
  // NOLINTEND(readability-identifier-naming)

  friend std::string operator+(std::string aFront, const SharedText& aText) {
    return std::move(aFront) + aText.Text();
  }
  bool operator==(const SharedText& aOther) const {
    return Text() == aOther.Text();
  }

 private:
  struct Held {
    std::string mText;
    MemoryCharge mCharge;
  };
  std::shared_ptr<const Held> mHeld;
};

}  // namespace rillwall
