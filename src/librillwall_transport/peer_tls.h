/// \file
/// Mutual TLS for calls between nodes: client and server each present a
/// certificate signed by the fleet's authority.
///
/// gRPC checks the files every second and uses their current content for new
/// connections. The files must be replaced together, by renaming a folder or a
/// link: while certificate and key do not match, new connections fail.

#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <optional>

#include "rillwall/error.h"
#include "rillwall/tls.h"

namespace rillwall {

/// Checks that all three files are set and can be loaded.
/// \return an error that names the first file that cannot be loaded
std::optional<Error> CheckPeerTls(const TlsSettings& aSettings);

/// \param aSettings nullopt: without encryption and authentication
std::shared_ptr<grpc::ServerCredentials> PeerServerCredentials(
    const std::optional<TlsSettings>& aSettings);

/// \param aSettings nullopt: without encryption and authentication
std::shared_ptr<grpc::ChannelCredentials> PeerChannelCredentials(
    const std::optional<TlsSettings>& aSettings);

}  // namespace rillwall
