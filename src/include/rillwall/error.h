/// \file
/// Typed errors whose messages name the remedy, and the Result type.
///
/// Errors are returned in a Result and never thrown across a library boundary.
/// Every kind is a std::error_code of one category; its message says what is
/// wrong and what to do. RunState says whether an upstream ran the request that
/// was refused or failed.

#pragma once

#include <boost/system/result.hpp>
#include <string>
#include <system_error>

#include "rillwall/millis.h"

namespace rillwall {

/// What went wrong. The kind determines the HTTP status.
enum class ErrorKind {
  BadRequest = 1,   ///< the request cannot be read or is not valid
  Unauthorized,     ///< no token, or one that is not known
  Forbidden,        ///< the token's scope does not allow it
  NotFound,         ///< no such route, model, trainer, step or policy
  Conflict,         ///< another writer won, or the state does not allow it
  Superseded,       ///< replaced by a newer request of the same kind
  TooLarge,         ///< a body, header or value is over its limit
  Timeout,          ///< the deadline passed
  Overloaded,       ///< load shed to protect other requests; retry later
  Unavailable,      ///< no upstream or no node can serve this now
  Draining,         ///< this node is shutting down
  ConnectionLost,   ///< the peer closed or reset the connection
  UpstreamRefused,  ///< the upstream refused before running anything
  UpstreamFailed,   ///< the upstream failed while running
  Stale,            ///< older than a bound, a fence or a revision allows
  KvUnavailable,    ///< the key-value service did not execute the call
  KvUncertain,      ///< the key-value service may have executed the call
  OutcomeUnknown,   ///< a non-idempotent call may have run
  PolicyInvalid,    ///< a policy program is wrong or contradicts another
  Internal,         ///< a bug in rillwall
};

/// Whether an upstream ran the request, as reported to the caller.
enum class RunState { NotRun, Run, Unknown };

/// \return the category of all error codes of rillwall
const std::error_category& ErrorCategory();

/// Makes an ErrorKind usable as a std::error_code.
std::error_code make_error_code(ErrorKind aKind);

/// \return the stable name of the kind in JSON, such as "bad-request"
const char* ErrorName(ErrorKind aKind);
/// \return one sentence on what to do about an error of this kind
const char* ErrorRemedy(ErrorKind aKind);
/// \return the HTTP status of responses with this kind
int ErrorStatus(ErrorKind aKind);
/// \return "run", "not-run" or "unknown", as sent in the Rillwall-Run header
const char* RunStateName(RunState aState);

/// An error: its kind, the details of this case and the run state.
class Error {
 public:
  /// An internal error; boost::system::result requires a default constructor.
  Error() : Error(ErrorKind::Internal, "") {}
  /// \param aKind what went wrong
  /// \param aDetail details in one sentence, without secrets
  /// \param aRun whether an upstream ran the request
  Error(ErrorKind aKind, std::string aDetail, RunState aRun = RunState::NotRun)
      : mKind(aKind), mDetail(std::move(aDetail)), mRun(aRun) {}

  ErrorKind Kind() const { return mKind; }
  const std::string& Detail() const { return mDetail; }
  RunState Run() const { return mRun; }
  std::error_code Code() const { return make_error_code(mKind); }
  /// \return detail and remedy in one line
  std::string Message() const;
  /// \return the same error with another run state
  Error WithRunState(RunState aRun) const {
    return Error(mKind, mDetail, aRun);
  }

  /// \return how long the client should wait before it retries; 0: not set
  Millis RetryAfter() const { return mRetryAfter; }
  /// \return the same error with a delay before the next attempt
  Error WithRetryAfter(Millis aDelay) const {
    Error error = *this;
    error.mRetryAfter = aDelay;
    return error;
  }

  bool operator==(const Error&) const = default;

 private:
  ErrorKind mKind;
  std::string mDetail;
  RunState mRun;
  Millis mRetryAfter;
};

/// Called by Result::value() on an error; throws std::system_error. Production
/// code checks has_value() first, so only tests reach this.
[[noreturn]] void throw_exception_from_error(
    const Error& aError, const boost::source_location& aWhere);

/// A value or an Error.
template <class Value>
using Result = boost::system::result<Value, Error>;

}  // namespace rillwall

template <>
struct std::is_error_code_enum<rillwall::ErrorKind> : std::true_type {};
