#include "rillwall/replica_load.h"

#include <array>
#include <string>

#include "rillwall/numbers.h"

namespace rillwall {

namespace {

/// Above any real replica; a larger figure is a fault of the sender.
constexpr int64_t kMaxRequests = 1'000'000;
/// A hundred times the usual time. A replica that is slower serves nobody.
constexpr int64_t kMaxWorkPercent = 10'000;

struct Figure {
  const char* mName;
  int64_t mLeast;
  int64_t mMost;
};

constexpr std::array<Figure, 4> kFigures = {{{"running", 0, kMaxRequests},
                                             {"waiting", 0, kMaxRequests},
                                             {"slots", 1, kMaxRequests},
                                             {"percent", 1, kMaxWorkPercent}}};
constexpr size_t kRequiredFigures = 3;

}  // namespace

Result<ReplicaLoad> ParseReplicaLoad(std::string_view aText) {
  std::array<int64_t, kFigures.size()> values{};
  size_t count = 0;
  bool more = true;
  while (more && count < kFigures.size()) {
    const size_t comma = aText.find(',');
    const Figure& figure = kFigures[count];
    const std::optional<int64_t> value = ParseNumber(aText.substr(0, comma));
    if (!value || *value < figure.mLeast || *value > figure.mMost) {
      return Error(ErrorKind::BadRequest,
                   std::string("The load report's figure '") + figure.mName +
                       "' is not a number from " +
                       std::to_string(figure.mLeast) + " to " +
                       std::to_string(figure.mMost) + ".");
    }
    values[count] = *value;
    ++count;
    more = comma != std::string_view::npos;
    aText.remove_prefix(more ? comma + 1 : aText.size());
  }
  if (count < kRequiredFigures) {
    return Error(ErrorKind::BadRequest,
                 "The load report has fewer than three figures.");
  }
  ReplicaLoad report{values[0], values[1], values[2], std::nullopt};
  if (count > kRequiredFigures) {
    report.mWorkPercent = values[kRequiredFigures];
  }
  return report;
}

}  // namespace rillwall
