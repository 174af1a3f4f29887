/// \file
/// The settings of the gRPC library that hold for the whole process.

#include "grpc_library.h"

#include <absl/synchronization/mutex.h>
#include <grpc/grpc.h>
#include <grpc/support/log.h>

#include <mutex>
#include <string>

#include "rillwall/log.h"

namespace rillwall {

namespace {

constexpr size_t kMaxLogBytes = 300;

/// Anyone who can connect can cause such a line, so that repeats are left out.
void LogLine(gpr_log_func_args* aLine) {
  const std::string_view text(aLine->message);
  Log(Part::Peer)
      .Repeat("grpc")
      .Warn("gRPC says: " + std::string(text.substr(0, kMaxLogBytes)));
}

void Start() {
  gpr_set_log_function(LogLine);
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  grpc_init();
}

}  // namespace

void InitGrpcOnce() {
  static std::once_flag sOnce;
  std::call_once(sOnce, Start);
}

}  // namespace rillwall
