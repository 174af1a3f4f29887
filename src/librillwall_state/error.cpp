#include "rillwall/error.h"

#include <array>

namespace rillwall {

namespace {

struct KindRow {
  const char* mName;
  int mStatus;
  const char* mRemedy;
};

// Indexed by ErrorKind; index 0 means "no error".
constexpr std::array<KindRow, 21> kKinds = {{
    {"ok", 200, "Nothing to do."},
    {"bad-request", 400, "Correct the request as the detail says."},
    {"unauthorized", 401, "Send a valid token as 'Authorization: Bearer'."},
    {"forbidden", 403, "Use a token whose scope covers this request."},
    {"not-found", 404, "Check the name; list what exists first."},
    {"conflict", 409, "Read the current state and decide again."},
    {"superseded", 409, "Use the answer of the newer request."},
    {"too-large", 413, "Send less at once."},
    {"timeout", 504, "Allow more time, or retry if it is idempotent."},
    {"overloaded", 429, "Retry after the time given in Retry-After."},
    {"unavailable", 503, "Retry after the time given in Retry-After."},
    {"draining", 503, "Send the request to another node."},
    {"connection-lost", 502, "Retry if the request is idempotent."},
    {"upstream-refused", 503, "Retry; the upstream ran nothing."},
    {"upstream-failed", 502, "Retry if the request is idempotent."},
    {"stale", 409, "Take the newest version or revision and try again."},
    {"kv-unavailable", 503, "Retry when the key-value service answers."},
    {"kv-uncertain", 503, "Read back the value before you try again."},
    {"outcome-unknown", 409,
     "Check the upstream's records; do not repeat the call."},
    {"policy-invalid", 422, "Correct the policy as the detail says."},
    {"internal", 500, "Report this with the node's dump."},
}};

const KindRow& Row(int aKind) {
  const bool known = aKind >= 0 && aKind < static_cast<int>(kKinds.size());
  return known ? kKinds[aKind] : kKinds.back();
}

const KindRow& Row(ErrorKind aKind) { return Row(static_cast<int>(aKind)); }

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "rillwall"; }
  std::string message(int aCode) const override {
    const KindRow& row = Row(aCode);
    return std::string(row.mName) + ": " + row.mRemedy;
  }
};

}  // namespace

const std::error_category& ErrorCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(ErrorKind aKind) {
  return {static_cast<int>(aKind), ErrorCategory()};
}

const char* ErrorName(ErrorKind aKind) { return Row(aKind).mName; }
const char* ErrorRemedy(ErrorKind aKind) { return Row(aKind).mRemedy; }
int ErrorStatus(ErrorKind aKind) { return Row(aKind).mStatus; }

const char* RunStateName(RunState aState) {
  switch (aState) {
    case RunState::NotRun:
      return "not-run";
    case RunState::Run:
      return "run";
    default:
      return "unknown";
  }
}

std::string Error::Message() const {
  return mDetail + " " + ErrorRemedy(mKind);
}

void throw_exception_from_error(const Error& aError,
                                const boost::source_location&) {
  throw std::system_error(aError.Code(), aError.Detail());
}

}  // namespace rillwall
