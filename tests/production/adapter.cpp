#include "production/adapter.hpp"

#include "support/production_node.hpp"

namespace elmstall::test {
namespace {

template <typename Outcome>
int number_of(Outcome outcome) {
  return static_cast<int>(outcome);
}

production::Settings settings_of(const config::Settings& given) {
  production::Settings settings;
  settings.node = given.node;
  settings.zone = given.zone;
  for (const auto& one : given.peers) settings.peers.push_back({one.name, one.zone});
  settings.zones = given.zones;
  for (const auto& one : given.teams)
    settings.teams.push_back({one.name, one.cpus, one.cpus_max, one.gpus, one.gpus_max});
  for (const auto& one : given.objectives)
    settings.objectives.push_back({one.kind, one.job_class, one.within_s, one.share});
  settings.report_s = given.heartbeat_interval_s;
  settings.lease_s = given.lease_s;
  settings.cancel_s = given.cancel_s;
  settings.state_rps = given.state.rps;
  settings.state_write_rps = given.state.write_rps;
  settings.state_value_kb = given.state.value_kb;
  settings.txn_ops = given.state.transaction_writes_max;
  settings.cloud_rps = given.cloud_rps;
  settings.list_lag_s = given.list_lag_s;
  settings.cores = given.cores;
  settings.memory_mb = given.memory_mb;
  settings.fd_limit = given.fd_limit;
  return settings;
}

void connect_time(production::Ports& to, VirtualEventLoop& loop) {
  to.now = [&loop] { return loop.now(); };
  to.wall = [&loop] { return loop.wall_time(); };
  to.random = [&loop] { return loop.random(); };
  to.after = [&loop](double seconds, std::function<void()> fn) {
    loop.after(seconds, std::move(fn));
  };
}

void connect_reads(production::Ports& to, store::StateStore& store) {
  to.get = [&store](const std::string& key, production::GetDone done) {
    store.get(key, [done = std::move(done)](const store::GetResult& result) {
      const auto& entry = result.entry;
      done(number_of(result.outcome), {entry.key, entry.value, entry.mod_revision},
           result.revision);
    });
  };
  to.list = [&store](const std::string& prefix, const std::string& since,
                     production::ListDone done) {
    store.list(prefix, since, [done = std::move(done)](const store::ListResult& result) {
      std::vector<production::Entry> entries;
      for (const auto& one : result.listing.entries)
        entries.push_back({one.key, one.value, one.mod_revision});
      done(number_of(result.outcome), std::move(entries), result.listing.truncated,
           result.listing.revision);
    });
  };
  to.watch = [&store](const std::string& prefix, std::uint64_t since, double hold_s,
                      production::WatchDone done) {
    store.watch(prefix, since, hold_s, [done = std::move(done)](const store::WatchResult& result) {
      std::vector<production::Change> changes;
      for (const auto& one : result.changes.log)
        changes.push_back({one.key, one.value, one.mod_revision});
      done(number_of(result.outcome), result.changes.revision, std::move(changes));
    });
  };
}

void connect_writes(production::Ports& to, store::StateStore& store) {
  to.commit = [&store](const std::vector<production::Guard>& preconditions,
                       const std::vector<production::Write>& writes, production::CommitDone done) {
    wire::Transaction transaction;
    for (const auto& one : preconditions) transaction.preconditions.push_back({one.key, one.stamp});
    for (const auto& one : writes) transaction.writes.push_back({one.key, one.value, one.lease});
    store.commit(std::move(transaction),
                 [done = std::move(done)](const store::CommitResult& result) {
                   done(number_of(result.outcome), result.revision, result.failed);
                 });
  };
  to.grant = [&store](double life_s, production::GrantDone done) {
    store.grant(life_s, [done = std::move(done)](const store::GrantResult& result) {
      done(number_of(result.outcome), result.lease);
    });
  };
  to.renew = [&store](std::uint64_t lease, production::RenewDone done) {
    store.renew(lease,
                [done = std::move(done)](store::Outcome outcome) { done(number_of(outcome)); });
  };
}

void connect_cloud(production::Ports& to, clients::Cloud& cloud) {
  to.machine_types = [&cloud](production::TypesDone done) {
    cloud.machine_types(
        [done = std::move(done)](const std::optional<std::vector<wire::MachineType>>& types) {
          done(types ? std::optional(wire::encode_machine_types(*types)) : std::nullopt);
        });
  };
  to.cloud_list = [&cloud](const std::string& since, production::CloudListDone done) {
    cloud.list(since, [done = std::move(done)](const std::optional<wire::CloudPage>& page) {
      if (!page) return done(std::nullopt);
      std::vector<production::CloudHost> machines;
      for (const auto& one : page->machines)
        machines.push_back(
            {one.id, one.addr, one.type, one.zone, one.spot, number_of(one.state), one.age_s});
      done(std::move(machines));
    });
  };
  to.rent = [&cloud](const std::string& name, const std::string& type, const std::string& zone,
                     bool spot, int count, production::RentDone done) {
    cloud.provision(name, type, zone, spot, count,
                    [done = std::move(done)](const clients::ProvisionResult& result) {
                      done(number_of(result.outcome), result.machines);
                    });
  };
  to.release = [&cloud](const std::vector<std::string>& machines, std::function<void(bool)> done) {
    cloud.terminate(machines, std::move(done));
  };
}

void connect_workers(production::Ports& to, clients::WorkerRpc& worker_rpc) {
  to.order = [&worker_rpc](const std::string& addr, std::uint64_t token, std::uint64_t epoch,
                           const std::string& commands, production::OrderDone done) {
    const auto decoded = wire::decode_commands(wire::Document::parse(commands).root());
    worker_rpc.send_commands(addr, token, epoch, decoded.commands,
                             [done = std::move(done)](const clients::CommandResult& result) {
                               done(number_of(result.outcome),
                                    result.heartbeat
                                        ? std::optional(wire::encode_heartbeat(*result.heartbeat))
                                        : std::nullopt);
                             });
  };
}

void connect_transport(production::Ports& to, peer::Transport& transport) {
  // Through this version's reader, which must read all that the other sends.
  to.send = [&transport](const std::string& node, const std::string& bytes) {
    const auto message = peer::decode(bytes);
    if (node.empty()) {
      transport.broadcast(message);
    } else {
      transport.send(node, message);
    }
  };
  to.flush = [&transport] { transport.flush(); };
}

class ProductionNode : public OtherNode {
 public:
  explicit ProductionNode(const OtherNodePorts& ports)
      : node_(settings_of(ports.settings), connect(ports), ports.incarnation) {}

  void on_request(net::Request request, net::Responder respond) override {
    node_.on_request(request.method, request.path, request.body,
                     [respond = std::move(respond)](int status, std::string body, int retry) {
                       respond({status, std::move(body), retry});
                     });
  }
  void on_message(const std::string& bytes) override { node_.on_message(bytes); }
  [[nodiscard]] bool leads() const override { return node_.leads(); }

 private:
  static production::Ports connect(const OtherNodePorts& ports) {
    production::Ports to;
    connect_time(to, ports.event_loop);
    connect_reads(to, ports.store);
    connect_writes(to, ports.store);
    connect_cloud(to, ports.cloud);
    connect_workers(to, ports.worker_rpc);
    connect_transport(to, ports.transport);
    return to;
  }

  production::Node node_;
};

}  // namespace

std::unique_ptr<OtherNode> make_production_node(const OtherNodePorts& ports) {
  return std::make_unique<ProductionNode>(ports);
}

}  // namespace elmstall::test
