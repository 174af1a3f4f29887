/// \file
/// Process-wide setup of the gRPC library.

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

/// Writes a message of gRPC to the log. Repeated messages are suppressed
/// because anyone who can connect can cause them.
void LogGrpcMessage(gpr_log_func_args* aMessage) {
  const std::string_view text(aMessage->message);
  Log(Part::Peer)
      .RepeatKey("grpc")
      .Warn("gRPC reported: " + std::string(text.substr(0, kMaxLogBytes)));
}

void InitGrpc() {
  gpr_set_log_function(LogGrpcMessage);
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  grpc_init();
}

}  // namespace

void InitGrpcOnce() {
  static std::once_flag sOnce;
  std::call_once(sOnce, InitGrpc);
}

}  // namespace rillwall
