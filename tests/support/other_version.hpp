/// \file
/// Interface to a controller of another version that runs beside those of this version.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "clients/cloud.hpp"
#include "clients/worker_rpc.hpp"
#include "config/settings.hpp"
#include "net/http_server.hpp"
#include "peer/transport.hpp"
#include "store/state_store.hpp"
#include "support/virtual_time.hpp"

namespace elmstall::test {

/// A running controller of another version.
class OtherNode {
 public:
  virtual ~OtherNode() = default;
  virtual void on_request(net::Request request, net::Responder respond) = 0;
  /// `bytes`: a message of a peer, encoded.
  virtual void on_message(const std::string& bytes) = 0;
  [[nodiscard]] virtual bool leads() const = 0;
};

/// Dependencies of a controller of another version.
struct OtherNodePorts {
  const config::Settings& settings;
  VirtualEventLoop& event_loop;
  store::StateStore& store;
  clients::Cloud& cloud;
  clients::WorkerRpc& worker_rpc;
  peer::Transport& transport;
  std::string incarnation;
};

using OtherNodeFactory = std::function<std::unique_ptr<OtherNode>(const OtherNodePorts&)>;

}  // namespace elmstall::test
