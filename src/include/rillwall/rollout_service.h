/// \file
/// Ownership of rollout steps: accepts steps durably, runs their items, lists
/// results at positions that never change, and takes over steps whose owner is
/// gone.
///
/// Each step has one owner, which its record in the store names. Every append
/// to a step is guarded by the record's revision, so that a former owner that
/// was paused or cut off can append nothing.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "rillwall/load_plan.h"
#include "rillwall/node_context.h"
#include "rillwall/result_cache.h"
#include "rillwall/rollout.h"
#include "rillwall/rollout_record.h"
#include "rillwall/scale_demand.h"
#include "rillwall/step_handover.h"
#include "rillwall/step_spool.h"
#include "rillwall/text_move.h"

namespace rillwall {

/// The node that serves a step.
struct RolloutLocation {
  enum class Kind {
    Local,    ///< this node owns the step, or holds all results that it ever
              ///< listed
    Remote,   ///< another node serves it
    Unknown,  ///< no such step was ever accepted
  };
  Kind mKind = Kind::Unknown;
  std::string mAddress;  ///< of the other node
  /// Whether the step has ended, if its record was read.
  bool mEnded = false;
};

/// Results of a step from one position on.
struct RolloutRead {
  /// Number of items of the step.
  int64_t mTotal = 0;
  /// Position after the last result of mResults.
  int64_t mNext = 0;
  std::vector<RolloutResult> mResults;
};

/// Selects the results of one response.
/// \param aListed listed results of a step
/// \param aFirst position of the first of them
/// \param aTotal number of items of the step
/// \param aAfter position of the first result to return
/// \return the results from aAfter on, as many as fit in one response
RolloutRead ReadFrom(const std::vector<RolloutResult>& aListed, int64_t aFirst,
                     int64_t aTotal, int64_t aAfter);

/// \return the route of an accepted step; null if the configuration has none
const Route* FindRolloutRoute(const RouteTable& aRoutes,
                              const StepRecord& aRecord);

struct RolloutStep;
class ResultList;
class StepSchedule;
struct UpstreamCall;

/// Owns rollout steps on this node. Used on the node's thread only.
class RolloutService {
 public:
  /// Decodes a submission from its body in the store.
  using SpecDecoder = std::function<Result<RolloutSpec>(
      const std::string& aId, const StepRecord& aRecord,
      const std::string& aBody, MemoryCharge& aCharge)>;

  /// Bytes of ended steps that are kept in memory by default.
  static constexpr size_t kMaxArchiveBytes = 40 * 1024 * 1024;

  /// \param aArchiveBytes of ended steps that are kept in memory
  RolloutService(NodeContext& aNode, SpecDecoder aDecoder,
                 size_t aArchiveBytes = kMaxArchiveBytes);

  /// Decodes one item of a submission from its text.
  std::function<Result<RolloutItem>(std::string_view)> mItemDecoder;
  ~RolloutService();

  /// Keeps texts on the local disk while the store does not answer; unused
  /// until it is opened.
  StepSpool mSpool;

  /// Returns the addresses of the nodes that may run a step too: the lead, and
  /// the nodes that accept steps in its place.
  std::function<std::vector<std::string>()> mPeers = [] {
    return std::vector<std::string>();
  };

  /// Called for each step that this node starts to own, with the number of
  /// tokens that it is expected to generate.
  std::function<void(const RolloutSpec&, double)> mOnStep;

  /// Accepts a step durably and runs it here. If the store does not answer, the
  /// step already runs, but none of its results are listed. A repeated
  /// submission waits for the same acceptance. The step is dropped if nobody
  /// submits it again.
  /// \param aBody the submission as received, to be kept in the store
  /// \return nothing once the step is accepted; an error whose Run() is Unknown
  /// if the step may still be accepted
  /// \param aCharge for the decoded step, held as long as the step is open
  asio::awaitable<std::optional<Error>> Accept(RolloutSpec aSpec, Route aRoute,
                                               SharedText aBody,
                                               MemoryCharge aCharge = {});
  /// Finds the node that serves a step. Takes the step over if its record names
  /// this node's address.
  /// \param aAdopt take the step over if its owner does not answer
  /// \return the location; or an error if the store does not answer, or the
  /// step is being accepted or taken over
  asio::awaitable<Result<RolloutLocation>> Locate(std::string aId, bool aAdopt);
  /// \return whether the step is here, or its location is cached
  bool Knows(const std::string& aId) const;
  /// Removes a step's cached location, after the node there did not answer for
  /// the step.
  void ForgetLocation(const std::string& aId);

  /// Reads results of a step that is here. Waits for a result at aAfter if
  /// there is none yet.
  /// \param aWait longest wait
  /// \return the results; or Unavailable if the step is not here, or this node
  /// cannot confirm that it still owns the step
  asio::awaitable<Result<RolloutRead>> Read(std::string aId, int64_t aAfter,
                                            Millis aWait);
  /// \return the request body of an item, or nothing if the step is not here or
  /// has no such item; an error if the body can't be read from the store now
  asio::awaitable<Result<std::optional<std::string>>> Body(std::string aId,
                                                           std::string aItem);
  /// Ends a step: stops its runs and marks its record as ended. If the store
  /// does not answer, the record is marked later.
  /// \return nothing once the record says so; an error whose Run() is Unknown
  /// if the step has stopped here and its record is not marked yet
  asio::awaitable<std::optional<Error>> End(std::string aId);

  /// Takes over all open steps whose owner does not answer. Where steps are
  /// handed over, a step stays with an owner that answers and reaches the store
  /// again within a short time. To be called by a new lead.
  /// \param aGone address that is known not to answer; may be empty
  asio::awaitable<void> AdoptOrphans(std::string aGone = {});
  /// Removes steps that ended long ago from the store. To be called by the
  /// lead.
  asio::awaitable<void> Sweep();
  /// Loads an ended step from the store, so that it can be read here.
  /// Concurrent callers share one load, as the clients that read a step arrive
  /// together.
  asio::awaitable<std::optional<Error>> LoadArchive(std::string aId);
  /// Starts items that replicas have free slots for.
  void StartReadyItems();
  /// Maintains the open steps until the process ends.
  asio::awaitable<void> Run();
  /// \return whether a step is here and still open
  bool Owns(const std::string& aId) const;
  /// \return what the open steps require of the weights of their models; empty
  /// unless their services are ordered by priority
  std::vector<VersionNeed> VersionNeeds() const;
  size_t OpenSteps() const;
  /// \return this node's state as an owner, except for mReachesStore
  OwnerState State() const;
  /// Stops the runs of a step that another node has taken over.
  /// \return the step's unlisted texts for the new owner; NotFound if the step
  /// is not here, Unavailable if the request is not for this process or names
  /// no newer record
  Result<std::vector<RolloutPart>> HandOver(const HandoverRequest& aRequest);
  /// \return what the unfinished texts of the open steps here need of a service
  std::vector<StepDemand> DemandOn(const std::string& aService) const;

 private:
  using StepPtr = std::shared_ptr<RolloutStep>;
  /// A load of an ended step that is under way.
  struct ArchiveLoad;
  asio::awaitable<std::optional<Error>> ReadArchive(std::string aId);

  /// Unfinished texts of a step in the store.
  struct StoredTexts {
    std::vector<RolloutPart> mParts;
    int64_t mNext = 0;  ///< number of the next write
  };

  /// \param aRoute null if the configuration has no route for the step
  StepPtr MakeStep(RolloutSpec aSpec, const Route* aRoute, StepRecord aRecord,
                   int64_t aRevision, MemoryCharge aCharge);
  /// The bodies of an item's request and of its scorer call.
  struct ItemBodies {
    std::string mBody;
    std::string mScorerBody;
  };
  /// \return an item's bodies, read from its submission if they were left out
  asio::awaitable<Result<ItemBodies>> LoadBodies(StepPtr aStep, size_t aItem);
  /// \return a piece of a step's submission
  asio::awaitable<Result<std::string>> ReadSubmission(StepPtr aStep,
                                                      ItemPlace aPlace);
  /// \return one part of a step's submission, from the store or from the parts
  /// that were read last
  asio::awaitable<Result<SharedText>> ReadSubmissionPart(StepPtr aStep,
                                                         size_t aPart);
  /// Sets until when a step waits, by its route and the time of its acceptance.
  void SetTimeLimits(RolloutStep& aStep) const;
  /// Gives a step without a route the one of the present configuration, if
  /// there is one.
  void AdoptRoute(RolloutStep& aStep);
  /// Adds texts that earlier steps of the account left unfinished.
  void ResumeCarriedTexts(RolloutStep& aStep);
  /// Keeps a step's texts of unfinished groups for a later step.
  void CarryTexts(const RolloutStep& aStep);
  asio::awaitable<Result<StepPtr>> TakeOver(std::string aId, StepRecord aRecord,
                                            int64_t aRevision);
  /// Takes a step over unless another acceptance or takeover of it is under way
  /// here.
  asio::awaitable<Result<StepPtr>> TakeOverOnce(std::string aId,
                                                StepRecord aRecord,
                                                int64_t aRevision);
  /// Takes one orphan over; logs the reason if that fails.
  asio::awaitable<void> TakeOverOrphan(std::string aId, StepRecord aRecord,
                                       int64_t aRevision);
  /// A step whose record is being written to the store.
  struct Acceptance;
  using AcceptancePtr = std::shared_ptr<Acceptance>;
  AcceptancePtr MakeAcceptance(RolloutSpec aSpec, Route aRoute,
                               SharedText aBody, MemoryCharge aCharge);
  /// Writes the parts of a large submission that the store does not have yet,
  /// before its record.
  /// \return whether all of them are there
  asio::awaitable<bool> UploadBody(AcceptancePtr aAcceptance);
  /// Removes the parts of a submission that was not accepted.
  asio::awaitable<void> RemoveUpload(AcceptancePtr aAcceptance);
  /// Starts the step if the store has not answered after a short delay, and no
  /// other node runs it.
  asio::awaitable<void> StartAfterDelay(AcceptancePtr aAcceptance);
  /// Writes the record until the store answers or nobody waits for it any more.
  asio::awaitable<void> CommitAcceptance(AcceptancePtr aAcceptance);
  /// Writes the record once.
  /// \return the record's revision (0 if another node accepted the step), or
  /// nothing if the write must be repeated
  asio::awaitable<std::optional<Result<int64_t>>> CommitOnce(
      AcceptancePtr aAcceptance);
  /// Starts the step unless it runs already.
  /// \param aAwaitsTexts see RolloutStep::mAwaitsTexts
  void StartStep(const AcceptancePtr& aAcceptance, bool aAwaitsTexts);
  /// Finishes an acceptance once the store has the record.
  /// \param aRevision of the record; 0 if another node wrote it
  /// \param aTook time since the record was first written
  void FinishAcceptance(const AcceptancePtr& aAcceptance, int64_t aRevision,
                        Millis aTook);
  /// Stops a step that was not accepted here.
  void Discard(const AcceptancePtr& aAcceptance, const char* aWhy);
  /// Reads the listed results of a step. Unreadable pages are logged.
  /// \param aTotal number of items of the step
  asio::awaitable<Result<ResultList>> LoadPages(std::string aId,
                                                int64_t aTotal);
  /// Keeps the results of an ended step.
  void AddArchive(const std::string& aId, int64_t aTotal,
                  const ResultList& aListed);
  /// \return results of an ended step; Unavailable for a position that no
  /// readable page holds
  Result<RolloutRead> ReadArchived(const std::string& aId, int64_t aAfter);
  /// A submission as the store holds it.
  struct StoredSubmission {
    std::string mText;
    size_t mPartBytes = 0;  ///< of each part but the last
  };
  /// \param aCharge grows with the submission
  asio::awaitable<Result<StoredSubmission>> LoadSubmission(
      std::string aId, MemoryCharge& aCharge);
  /// Reads the unfinished texts that earlier owners kept.
  asio::awaitable<Result<StoredTexts>> LoadParts(std::string aId);
  /// Removes takeover marks whose former owners are long gone.
  asio::awaitable<void> SweepTakeoverMarks(int64_t aOldestMs);
  asio::awaitable<std::optional<Error>> Remove(std::string aId,
                                               int64_t aRevision);
  asio::awaitable<bool> IsHealthy(std::string aAddress);

  /// \return the change that marks a step as ended
  static StoreChange EndingChange(const RolloutStep& aStep,
                                  const StepRecord& aRecord);
  /// Moves a step whose record is marked as ended to the archives.
  void CloseEnded(const StepPtr& aStep, const StepRecord& aRecord);
  /// Marks the record of a stopped step as ended once the store answers, also
  /// if another node has taken the step over meanwhile.
  asio::awaitable<void> RepeatEnd(StepPtr aStep);

  /// A node that runs a step, or keeps its texts.
  struct StepHolder {
    std::string mAddress;
    std::string mRun;
  };
  /// A question to several nodes that is under way.
  struct HolderSearch;
  /// Records that the store does not answer, or that this node leads now.
  void RecordUnsettled();
  /// \return whether a submission that is accepted now may run at another node
  bool MayRunElsewhere() const;
  /// Asks one node whether it holds a step.
  asio::awaitable<void> AskHolder(std::shared_ptr<HolderSearch> aSearch,
                                  std::string aAddress, std::string aId);
  /// Asks all nodes that may run a step.
  /// \return the first one that holds it, or nothing
  asio::awaitable<std::optional<StepHolder>> FindHolder(std::string aId);
  /// Takes the texts of an accepted step from the node that ran it before,
  /// which stops its runs, and starts the other items.
  asio::awaitable<void> CollectTexts(StepPtr aStep);

  /// \return whether the step of a record is handed over (HandsOverSteps)
  bool HandsOver(const StepRecord& aRecord) const;
  /// One question to an owner, shared by all its steps.
  struct OwnerCheck;
  /// Asks an owner for its state until it reaches the store, for a short time.
  asio::awaitable<std::optional<OwnerState>> CheckOwner(std::string aAddress);
  /// \return whether a step stays with the owner that its record names
  asio::awaitable<bool> OwnerKeeps(std::string aId, StepRecord aRecord);
  /// Takes a step over unless it stays with its owner.
  asio::awaitable<void> AdoptUnlessKept(std::string aId, StepRecord aRecord,
                                        int64_t aRevision);
  /// A step that another node owns now, with the texts that it may ask for.
  struct FormerStep {
    StepPtr mStep;
    Millis mLostAt;
    bool mHandedOver = false;
  };
  /// Keeps a lost step's texts for a short time, for its new owner.
  void KeepFormerStep(const StepPtr& aStep);
  void ForgetFormerSteps();
  /// \return whether a failed check is too old to show that the store is still
  /// away; false for steps that are not handed over
  bool VerifyFailureIsOld(const RolloutStep& aStep) const;

  /// \return whether this node was confirmed as the owner recently enough for
  /// the step not to have ended elsewhere
  bool MayStart(const RolloutStep& aStep) const;
  /// \return whether an item may be sent to a replica: the step has a route,
  /// and the item is not held
  bool MayRun(RolloutStep& aStep, size_t aItem) const;
  bool StartNext(const StepPtr& aStep);
  /// Starts items in the order of mSchedule.
  /// \param aSteps steps whose items it orders
  void StartInOrder(const std::vector<StepPtr>& aSteps);
  /// Starts a waiting item.
  /// \param aAccepts whether the item may run at a replica; empty: at any
  /// \return whether it does not wait any more
  bool StartItem(const StepPtr& aStep, const RolloutPick& aPick,
                 const std::function<bool(const std::string&)>& aAccepts);
  /// \return the service that the route picks for an item; null if there is
  /// none
  static const std::string* ServiceOf(const RolloutStep& aStep, size_t aItem);
  /// \return what a step's items require of a replica, except for the service
  ReplicaRequirements RequirementsOf(const RolloutStep& aStep) const;
  std::optional<std::string> ChooseReplica(const RolloutStep& aStep,
                                           const RolloutPick& aPick) const;
  /// Ends streams at slower replicas if a faster one has a free slot; the items
  /// continue there.
  void MoveFromSlowReplicas(const StepPtr& aStep);
  /// Ends streams at replicas with a termination notice, unless their texts end
  /// before the replica leaves; the items continue at other replicas.
  void MoveFromLeavingReplicas();
  asio::awaitable<void> RunItem(StepPtr aStep, size_t aItem, Replica aReplica);
  asio::awaitable<void> ScoreItem(StepPtr aStep, size_t aItem);
  /// Begins a run of a scorer call, unless it pauses because replicas have
  /// crashed under it.
  /// \return how long it pauses; 0: it must be sent now
  Millis TakeScorerTurn(const UpstreamCall& aCall);
  void EndScorerTurn(const UpstreamCall& aCall);
  /// Writes results and unfinished texts to the store if that is due.
  void ScheduleFlush(const StepPtr& aStep);
  /// \param aList write results too, not only unfinished texts
  asio::awaitable<void> Flush(StepPtr aStep, bool aList);
  /// Writes unfinished texts to the disk if that is due.
  void ScheduleSpool(const StepPtr& aStep);
  asio::awaitable<void> Spool(StepPtr aStep, std::vector<RolloutPart> aParts);
  /// Writes a change, retrying until the outcome is known.
  /// \return whether the change was applied
  asio::awaitable<bool> CommitWrite(StepPtr aStep, StoreChange aChange);
  /// Makes sure that the store named this node as the owner less than a second
  /// ago.
  asio::awaitable<std::optional<Error>> Verify(StepPtr aStep);
  /// Checks the ownership of one step by the step's own record.
  asio::awaitable<std::optional<Error>> VerifyRecord(StepPtr aStep);
  /// Checks with one store call for all steps whether one was taken over from
  /// this node.
  asio::awaitable<std::optional<Error>> VerifyAll();
  asio::awaitable<std::optional<Error>> CheckTakeovers();
  /// Stops a step that this node no longer owns, and removes it.
  void Drop(const StepPtr& aStep, const char* aWhy);
  /// Stops a step's runs and removes it.
  void Release(const StepPtr& aStep);
  std::vector<StepPtr> RunningSteps() const;
  void StopRuns(RolloutStep& aStep);
  void Tick();

  NodeContext& mNode;
  bool mUploading = false;  ///< parts of a submission are being written
  const SpecDecoder mDecoder;
  std::map<std::string, StepPtr> mSteps;
  /// All results of ended steps.
  ResultCache mArchives;
  /// Positions of ended steps whose pages can't be read.
  std::map<std::string, std::set<int64_t>> mUnreadResults;
  std::map<std::string, std::shared_ptr<ArchiveLoad>> mArchiveLoads;
  /// Steps that are being taken over here, and those that are being accepted.
  /// Neither may begin while the other is under way, as both add the step to
  /// mSteps.
  std::set<std::string> mTakeovers;
  std::map<std::string, AcceptancePtr> mAcceptances;
  std::map<std::string, std::string> mRemoteOwners;  ///< addresses, by step
  std::map<std::string, std::shared_ptr<OwnerCheck>> mOwnerChecks;
  std::map<std::string, FormerStep> mFormerSteps;
  LengthHints mLengths;
  std::unique_ptr<StepSchedule> mSchedule;
  bool mVerifying = false;              ///< a check of all steps is under way
  std::optional<Error> mVerifyFailure;  ///< of the last check of all steps
  Millis mVerifyEndedAt;                ///< end of the last check of all steps
  /// Of the key that marks takeovers from this process.
  int64_t mTakenRevision = 0;
  /// When RecordUnsettled() was last called.
  std::optional<Millis> mUnsettledAt;
  /// Texts, by item, of groups that were unfinished when their step ended.
  using CarriedTexts = std::map<std::string, RolloutText>;
  std::map<std::string, CarriedTexts> mCarried;  ///< by account
};

}  // namespace rillwall
