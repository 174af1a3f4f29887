/// \file
/// Write-ahead log of a trainer: the pulled answers, the announced versions and
/// the trained steps. A restarted trainer continues from it.
///
/// Each line is a JSON object that is written with one call before the trainer
/// acts on it. A line that was truncated because the trainer was killed is
/// ignored, so neither its receipt nor its samples count as received.

#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rillwall/error.h"
#include "trainer_sample.h"

namespace rillwall::standin {

/// The id of a sample's text and the label delivered with it, which are
/// compared with the journals of the engines.
struct SampleLabel {
  std::string mTextId;
  std::vector<VersionSpan> mLabel;  ///< weight versions by tokens
};

/// A pull response that was accepted.
struct PullRecord {
  uint64_t mStep = 0;
  std::string mReceipt;
  std::vector<size_t> mGroups;  ///< indices of the groups received
  FaultCounts mFaults;
  std::map<int64_t, uint64_t> mStaleness;  ///< samples by their lag in versions
  std::vector<SampleLabel> mLabels;
};

/// Progress of one step.
struct StepProgress {
  std::string mReceipt;
  std::set<size_t> mGroups;
  bool mTrained = false;
};

/// The state that the log restores.
struct TrainerProgress {
  int64_t mNewestVersion =
      0;  ///< highest version announced, even without a response
  std::map<uint64_t, StepProgress> mSteps;
  FaultCounts mFaults;
  std::map<int64_t, uint64_t> mStaleness;
  std::vector<SampleLabel> mLabels;
  uint64_t mSamples = 0;

  /// Adds a pull response.
  void Apply(const PullRecord& aRecord);
};

/// Writes the log.
class TrainerLog {
 public:
  TrainerLog() = default;
  ~TrainerLog();
  TrainerLog(const TrainerLog&) = delete;
  TrainerLog& operator=(const TrainerLog&) = delete;

  /// Reads the log of an earlier process and opens it for appending.
  /// \param aPath file of the log; empty: no log is kept
  /// \return the restored state, or BadRequest if the file cannot be written
  Result<TrainerProgress> Open(const std::string& aPath);
  void WriteVersion(int64_t aVersion);
  void WritePull(const PullRecord& aRecord);
  void WriteTrained(uint64_t aStep);

 private:
  void Write(const boost::json::object& aLine);
  int mFile = -1;  ///< file descriptor; -1: no log
};

}  // namespace rillwall::standin
