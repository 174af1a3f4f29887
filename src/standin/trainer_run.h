/// \file
/// A trainer: announces versions, opens steps, pulls, checks and trains.

#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "driver_nodes.h"
#include "input_lines.h"
#include "trainer_log.h"

namespace rillwall::standin {

/// What one trainer is told at its start.
struct TrainerOptions {
  std::vector<std::string> mNodes;
  std::vector<std::string> mEngines;  ///< whose journals say what was true
  uint64_t mEngineRestarts = 0;
  std::string mName = "letters";
  std::string mModel = "letters";
  std::string mInputs;
  std::string mWeightStore;
  std::string mToken;
  std::string mOut;
  std::string mState;
  uint64_t mFirstStep = 1;
  uint64_t mSteps = 1;
  size_t mGroups = 256;
  size_t mGroupSize = 8;
  int64_t mMaxTokens = 4096;
  int64_t mBytes = 8 * 1024 * 1024;
  int64_t mFirstVersion = 1;
  int64_t mMaxStaleness = -1;
  int64_t mTrainMillis = 0;  ///< per group
  int64_t mPullGroups = 16;
  int64_t mPullWaitMillis = 1000;
  int64_t mPatienceSeconds = 120;
  int64_t mSeconds = 0;  ///< no step is begun after that long; 0: no limit
  uint64_t mAhead = 0;   ///< steps open before the present is trained
  uint64_t mSeed = 1;
  bool mSwapEveryStep = false;
  bool mSwapMidStep = false;  ///< announce one more once half is received
};

/// What was measured of one step.
struct StepTimes {
  uint64_t mStep = 0;
  Millis mOpened;
  Millis mReceived;  ///< the last group
  Millis mTrained;
};

/// What was measured by this process. What it received is in TrainerProgress.
struct TrainerFigures {
  Millis mStarted;
  Millis mEnded;
  Millis mIdle;  ///< nothing to train on
  Millis mTraining;
  std::vector<StepTimes> mSteps;
  uint64_t mPulls = 0;
  uint64_t mEmptyPulls = 0;
  uint64_t mUnfitAnswers = 0;  ///< extended another receipt than the one held
  uint64_t mReopened = 0;
  uint64_t mSuperseded = 0;
  bool mGaveUp = false;
};

class TrainerRun {
 public:
  TrainerRun(asio::io_context& aContext, const TrainerOptions& aOptions,
             std::vector<InputLine> aInputs, NodeSet& aNodes,
             HttpClient& aClient, TrainerLog& aLog, TrainerProgress aProgress);

  /// Runs all steps.
  asio::awaitable<void> Run();

  const TrainerProgress& Progress() const { return mProgress; }
  const TrainerFigures& Figures() const { return mFigures; }

 private:
  asio::awaitable<bool> Announce(int64_t aVersion);
  /// Announces the version after the newest, one announcement at a time.
  asio::awaitable<bool> AnnounceNext();
  asio::awaitable<void> AnnounceMidStep();
  asio::awaitable<bool> CreateWeights(const std::string& aPath);
  asio::awaitable<void> RunStep(uint64_t aStep);
  asio::awaitable<bool> Open(uint64_t aStep);
  asio::awaitable<bool> Receive(uint64_t aStep);
  /// \return whether the step is complete; nothing if the pull must be repeated
  asio::awaitable<Result<bool>> Pull(uint64_t aStep);
  asio::awaitable<void> Close(uint64_t aStep);
  asio::awaitable<void> Train();
  asio::awaitable<void> Await();

  /// Takes in an answer if it extends the receipt held.
  void TakeIn(uint64_t aStep, const DeliveredAnswer& aAnswer, int64_t aStated);
  AnswerRecord Check(uint64_t aStep, const DeliveredAnswer& aAnswer,
                     int64_t aStated) const;
  std::string Prompt(uint64_t aStep, size_t aGroup) const;
  std::string Target(const std::string& aRest) const;
  void GiveUp(const std::string& aWhy);
  uint64_t LastStep() const;

  asio::io_context& mContext;
  const TrainerOptions& mOptions;
  std::vector<InputLine> mInputs;
  NodeSet& mNodes;
  HttpClient& mClient;
  TrainerLog& mLog;
  TrainerProgress mProgress;
  TrainerFigures mFigures;
  std::deque<uint64_t> mToTrain;          ///< the step of each group received
  std::map<uint64_t, size_t> mUntrained;  ///< groups by step
  uint64_t mTrainedThrough = 0;
  uint64_t mBegun = 0;  ///< the last step begun
  bool mFinished = false;
  bool mAnnouncing = false;
  asio::steady_timer mChanged;  ///< cancelled at each change, to wake waiters
};

}  // namespace rillwall::standin
