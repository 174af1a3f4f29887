#include "trainer_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

#include "control_serve.h"

namespace rillwall::standin {

namespace {

constexpr int kFileMode = 0644;

json::array SpansJson(const std::vector<VersionSpan>& aLabel) {
  json::array spans;
  for (const VersionSpan& span : aLabel) {
    spans.push_back(json::array{span.mVersion, span.mBegin, span.mEnd});
  }
  return spans;
}

std::vector<VersionSpan> ParseSpans(const json::value& aValue) {
  std::vector<VersionSpan> spans;
  for (const json::value& value : aValue.as_array()) {
    const json::array& span = value.as_array();
    spans.push_back({span.at(0).to_number<int64_t>(),
                     span.at(1).to_number<int64_t>(),
                     span.at(2).to_number<int64_t>()});
  }
  return spans;
}

json::object RecordJson(const PullRecord& aRecord) {
  json::array faults;
  for (const auto& [fault, count] : aRecord.mFaults) {
    faults.push_back(json::array{static_cast<int>(fault), count});
  }
  json::array staleness;
  for (const auto& [versions, count] : aRecord.mStaleness) {
    staleness.push_back(json::array{versions, count});
  }
  json::array labels;
  for (const SampleLabel& label : aRecord.mLabels) {
    labels.push_back(json::array{label.mTextId, SpansJson(label.mLabel)});
  }
  json::object text;
  text["step"] = aRecord.mStep;
  text["receipt"] = aRecord.mReceipt;
  text["groups"] = json::value_from(aRecord.mGroups);
  text["faults"] = std::move(faults);
  text["staleness"] = std::move(staleness);
  text["labels"] = std::move(labels);
  return text;
}

PullRecord ParseRecord(const json::object& aText) {
  PullRecord record;
  record.mStep = aText.at("step").to_number<uint64_t>();
  record.mReceipt = TextOf(aText, "receipt");
  record.mGroups = json::value_to<std::vector<size_t>>(aText.at("groups"));
  for (const json::value& value : aText.at("faults").as_array()) {
    const auto fault = static_cast<SampleFault>(value.at(0).to_number<int>());
    record.mFaults[fault] = value.at(1).to_number<uint64_t>();
  }
  for (const json::value& value : aText.at("staleness").as_array()) {
    record.mStaleness[value.at(0).to_number<int64_t>()] =
        value.at(1).to_number<uint64_t>();
  }
  for (const json::value& value : aText.at("labels").as_array()) {
    record.mLabels.push_back(
        {value.at(0).as_string().c_str(), ParseSpans(value.at(1))});
  }
  return record;
}

void Replay(const json::object& aLine, TrainerProgress& aProgress) {
  if (aLine.contains("version")) {
    aProgress.mNewestVersion = NumberOf(aLine, "version");
  } else if (aLine.contains("trained")) {
    const auto step = static_cast<uint64_t>(NumberOf(aLine, "trained"));
    aProgress.mSteps[step].mTrained = true;
  } else if (aLine.contains("receipt")) {
    aProgress.Apply(ParseRecord(aLine));
  }
}

}  // namespace

void TrainerProgress::Apply(const PullRecord& aRecord) {
  StepProgress& step = mSteps[aRecord.mStep];
  step.mReceipt = aRecord.mReceipt;
  step.mGroups.insert(aRecord.mGroups.begin(), aRecord.mGroups.end());
  for (const auto& [fault, count] : aRecord.mFaults) {
    mFaults[fault] += count;
  }
  for (const auto& [versions, count] : aRecord.mStaleness) {
    mStaleness[versions] += count;
    mSamples += count;
  }
  mLabels.insert(mLabels.end(), aRecord.mLabels.begin(), aRecord.mLabels.end());
}

TrainerLog::~TrainerLog() {
  if (mFile >= 0) {
    ::close(mFile);
  }
}

Result<TrainerProgress> TrainerLog::Open(const std::string& aPath) {
  TrainerProgress progress;
  if (aPath.empty()) {
    return progress;
  }
  std::ifstream earlier(aPath);
  std::string line;
  while (std::getline(earlier, line)) {
    const auto object = ParseObject(line);
    if (object.has_value()) {
      Replay(object.value(), progress);
    }
  }
  mFile = ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, kFileMode);
  if (mFile < 0) {
    return Error(ErrorKind::BadRequest, aPath + " cannot be written.");
  }
  // Terminates a line that an earlier process left truncated.
  if (::write(mFile, "\n", 1) != 1) {
    return Error(ErrorKind::BadRequest, aPath + " cannot be written.");
  }
  return progress;
}

void TrainerLog::Write(const json::object& aLine) {
  if (mFile < 0) {
    return;
  }
  const std::string text = json::serialize(aLine) + "\n";
  const ssize_t written = ::write(mFile, text.data(), text.size());
  if (written != static_cast<ssize_t>(text.size())) {
    // Continuing would act on groups that the log does not contain. The next
    // process continues from the last complete line.
    std::cerr << "trainer: the state file cannot be written\n";
    std::_Exit(1);
  }
}

void TrainerLog::WriteVersion(int64_t aVersion) {
  json::object line;
  line["version"] = aVersion;
  Write(line);
}

void TrainerLog::WritePull(const PullRecord& aRecord) {
  Write(RecordJson(aRecord));
}

void TrainerLog::WriteTrained(uint64_t aStep) {
  json::object line;
  line["trained"] = aStep;
  Write(line);
}

}  // namespace rillwall::standin
