/// \file
/// Mutual TLS for calls between nodes: both ends show a certificate of the
/// fleet's authority. gRPC looks at the files each second and uses what they
/// hold for new connections; replace them together, by the rename of a folder
/// or a link. Until a certificate and its key match again, new connections
/// fail.

#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <optional>

#include "rillwall/error.h"
#include "rillwall/tls.h"

namespace rillwall {

/// \return what is wrong with the settings or their files, if anything; all
/// three files are needed
std::optional<Error> CheckPeerTls(const TlsSettings& aSettings);

/// \param aSettings nullopt: connections are neither encrypted nor checked
std::shared_ptr<grpc::ServerCredentials> PeerServerCredentials(
    const std::optional<TlsSettings>& aSettings);

/// \param aSettings nullopt: connections are neither encrypted nor checked
std::shared_ptr<grpc::ChannelCredentials> PeerChannelCredentials(
    const std::optional<TlsSettings>& aSettings);

}  // namespace rillwall
