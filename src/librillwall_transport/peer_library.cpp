/// \file
/// The settings of the gRPC library that hold for the whole process.

#include "peer_library.h"

#include <absl/synchronization/mutex.h>
#include <grpc/grpc.h>

#include <mutex>

namespace rillwall {

namespace {

void Start() {
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  grpc_init();
}

}  // namespace

void KeepGrpcRunning() {
  static std::once_flag sOnce;
  std::call_once(sOnce, Start);
}

}  // namespace rillwall
