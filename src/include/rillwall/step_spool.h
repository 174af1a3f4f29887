/// \file
/// Texts of open steps on this host's own disk, while the store is away.
///
/// What lasts is in the store. But nothing can be written there in an outage,
/// and a process that ends in it would lose what it generated meanwhile. So an
/// owner appends its unlisted texts to a file for each step; the process that
/// comes after it on the same host takes them up once the store is back. A lost
/// or broken file costs time only: the texts are generated again.

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <string>
#include <vector>

#include "rillwall/rollout.h"

namespace rillwall {

namespace asio = boost::asio;

class StepSpool {
 public:
  explicit StepSpool(asio::io_context& aIo) : mIo(aIo) {}
  ~StepSpool() { mDisk.join(); }

  /// Without a folder nothing is kept. Removes files that are too old for their
  /// steps to be open still.
  /// \param aMaxBytes of all files together
  void Open(std::string aFolder, size_t aMaxBytes);
  bool Usable() const { return !mFolder.empty(); }

  /// Appends to a step's file and makes it last.
  /// \return what went wrong, empty if it is on the disk
  asio::awaitable<std::string> Append(std::string aStep,
                                      std::vector<RolloutPart> aParts);
  /// \return what the step's file holds, up to the first broken line
  asio::awaitable<std::vector<RolloutPart>> Load(std::string aStep);
  /// The step needs its file no more.
  void Remove(const std::string& aStep);

 private:
  std::string PathOf(const std::string& aStep) const;

  asio::io_context& mIo;
  /// A disk may hang for seconds: its calls wait on a thread of their own.
  asio::thread_pool mDisk{1};
  std::string mFolder;
  size_t mMaxBytes = 0;
  size_t mBytes = 0;  ///< of all files, as far as known; on mDisk only
};

}  // namespace rillwall
