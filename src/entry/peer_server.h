/// \file
/// Server of the protocol between entry VMs.
#pragma once

#include "entry/shared_node.h"
#include "inner/inner.h"

namespace mustardspoke {

/// \brief Handles requests from other entry VMs.
class PeerServer final : public wire::Peer::Server {
public:
  explicit PeerServer(SharedNode &Core) : m_Core(Core) {}

protected:
  kj::Promise<void> gossip(GossipContext Context) override;
  kj::Promise<void> bundle(BundleContext Context) override;
  kj::Promise<void> takeOver(TakeOverContext Context) override;

private:
  SharedNode &m_Core;
};

} // namespace mustardspoke
