/// \file
/// What a trainer must not forget: a log of its answers and versions.
///
/// One JSON object a line, written in one call before anything is done with
/// it. A line that a killed trainer left half written is dropped: then neither
/// its receipt nor its samples count as received.

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

/// A sample's text and the label it came with, to hold against the journals.
struct SampleLabel {
  std::string mTextId;
  std::vector<VersionSpan> mLabel;
};

/// One answer taken in.
struct AnswerRecord {
  uint64_t mStep = 0;
  std::string mReceipt;
  std::vector<size_t> mGroups;
  FaultCounts mFaults;
  std::map<int64_t, uint64_t> mStaleness;  ///< samples by versions behind
  std::vector<SampleLabel> mLabels;
};

/// What was received of one step.
struct StepProgress {
  std::string mReceipt;
  std::set<size_t> mGroups;
  bool mTrained = false;
};

/// All that the log says.
struct TrainerProgress {
  int64_t mNewest = 0;  ///< version, also if its announcement was not answered
  std::map<uint64_t, StepProgress> mSteps;
  FaultCounts mFaults;
  std::map<int64_t, uint64_t> mStaleness;
  std::vector<SampleLabel> mLabels;
  uint64_t mSamples = 0;

  void Take(const AnswerRecord& aRecord);
};

class TrainerLog {
 public:
  TrainerLog() = default;
  ~TrainerLog();
  TrainerLog(const TrainerLog&) = delete;
  TrainerLog& operator=(const TrainerLog&) = delete;

  /// Reads what an earlier trainer left and goes on behind it.
  /// \param aPath empty: nothing is kept
  Result<TrainerProgress> Open(const std::string& aPath);
  void WriteVersion(int64_t aVersion);
  void WriteAnswer(const AnswerRecord& aRecord);
  void WriteTrained(uint64_t aStep);

 private:
  void Write(const boost::json::object& aLine);
  int mFile = -1;
};

}  // namespace rillwall::standin
