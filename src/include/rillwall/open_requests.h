/// \file
/// The requests of clients that have no response yet. A host that stops ends
/// them in time for a response, which serves their clients better than a closed
/// connection.

#pragma once

#include <functional>
#include <list>
#include <optional>

namespace rillwall {

/// Used on one thread only.
class OpenRequests {
 public:
  /// One request, from its arrival until its response begins.
  class Entry {
   public:
    /// \param aAll has to outlive the object
    /// \param aOnEnd called once if the request is ended; must not destroy the
    /// object
    Entry(OpenRequests& aAll, std::function<void()> aOnEnd);
    ~Entry() { Leave(); }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /// To be called right before the response begins. The request is not ended
    /// any more after that.
    /// \return false if it has been ended, and gets another response
    bool BeginResponse();
    /// \return whether the request has been ended
    bool Ended() const { return mEnded; }

   private:
    friend class OpenRequests;
    void Leave();

    OpenRequests& mAll;
    const std::function<void()> mOnEnd;
    bool mEnded = false;
    std::optional<std::list<Entry*>::iterator> mPlace;
  };

  /// Ends all requests.
  void EndAll();

 private:
  std::list<Entry*> mEntries;
};

}  // namespace rillwall
