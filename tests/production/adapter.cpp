#include "production/adapter.hpp"

#include "support/production_node.hpp"

namespace elmstall::test {
namespace {

/// Outcomes pass between the versions as the numbers of their enumerators.
template <typename Outcome>
int number_of(Outcome outcome) {
  return static_cast<int>(outcome);
}

production::Settings settings_of(const config::Settings& given) {
  production::Settings settings;
  settings.node = given.node;
  settings.zone = given.zone;
  for (const auto& peer : given.peers) settings.peers.push_back({peer.name, peer.zone});
  settings.zones = given.zones;
  for (const auto& team : given.teams)
    settings.teams.push_back({team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max});
  for (const auto& objective : given.objectives)
    settings.objectives.push_back(
        {objective.kind, objective.job_class, objective.within_s, objective.share});
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

void connect_time(production::Ports& ports, VirtualEventLoop& loop) {
  ports.now = [&loop] { return loop.now(); };
  ports.wall = [&loop] { return loop.wall_time(); };
  ports.random = [&loop] { return loop.random(); };
  ports.after = [&loop](double seconds, std::function<void()> fn) {
    loop.after(seconds, std::move(fn));
  };
}

void connect_reads(production::Ports& ports, store::StateStore& store) {
  ports.get = [&store](const std::string& key, production::GetDone done) {
    store.get(key, [done = std::move(done)](const store::GetResult& result) {
      const auto& entry = result.entry;
      done(number_of(result.outcome), {entry.key, entry.value, entry.mod_revision},
           result.revision);
    });
  };
  ports.list = [&store](const std::string& prefix, const std::string& since,
                        production::ListDone done) {
    store.list(prefix, since, [done = std::move(done)](const store::ListResult& result) {
      std::vector<production::Entry> entries;
      for (const auto& entry : result.listing.entries)
        entries.push_back({entry.key, entry.value, entry.mod_revision});
      done(number_of(result.outcome), std::move(entries), result.listing.truncated,
           result.listing.revision);
    });
  };
  ports.watch = [&store](const std::string& prefix, std::uint64_t since, double hold_s,
                         production::WatchDone done) {
    store.watch(prefix, since, hold_s, [done = std::move(done)](const store::WatchResult& result) {
      std::vector<production::Change> changes;
      for (const auto& change : result.changes.log)
        changes.push_back({change.key, change.value, change.mod_revision});
      done(number_of(result.outcome), result.changes.revision, std::move(changes));
    });
  };
}

void connect_writes(production::Ports& ports, store::StateStore& store) {
  ports.commit = [&store](const std::vector<production::Guard>& preconditions,
                          const std::vector<production::Write>& writes,
                          production::CommitDone done) {
    wire::Transaction transaction;
    for (const auto& precondition : preconditions)
      transaction.preconditions.push_back({precondition.key, precondition.stamp});
    for (const auto& write : writes)
      transaction.writes.push_back({write.key, write.value, write.lease});
    store.commit(std::move(transaction),
                 [done = std::move(done)](const store::CommitResult& result) {
                   done(number_of(result.outcome), result.revision, result.failed);
                 });
  };
  ports.grant = [&store](double life_s, production::GrantDone done) {
    store.grant(life_s, [done = std::move(done)](const store::GrantResult& result) {
      done(number_of(result.outcome), result.lease);
    });
  };
  ports.renew = [&store](std::uint64_t lease, production::RenewDone done) {
    store.renew(lease,
                [done = std::move(done)](store::Outcome outcome) { done(number_of(outcome)); });
  };
}

void connect_cloud(production::Ports& ports, clients::Cloud& cloud) {
  ports.machine_types = [&cloud](production::TypesDone done) {
    cloud.machine_types(
        [done = std::move(done)](const std::optional<std::vector<wire::MachineType>>& types) {
          done(types ? std::optional(wire::encode_machine_types(*types)) : std::nullopt);
        });
  };
  ports.cloud_list = [&cloud](const std::string& since, production::CloudListDone done) {
    cloud.list(since, [done = std::move(done)](const std::optional<wire::CloudPage>& page) {
      if (!page) return done(std::nullopt);
      std::vector<production::CloudHost> machines;
      for (const auto& machine : page->machines)
        machines.push_back({machine.id, machine.addr, machine.type, machine.zone, machine.spot,
                            number_of(machine.state), machine.age_s});
      done(std::move(machines));
    });
  };
  ports.rent = [&cloud](const std::string& name, const std::string& type, const std::string& zone,
                        bool spot, int count, production::RentDone done) {
    cloud.provision(name, type, zone, spot, count,
                    [done = std::move(done)](const clients::ProvisionResult& result) {
                      done(number_of(result.outcome), result.machines);
                    });
  };
  ports.release = [&cloud](const std::vector<std::string>& machines,
                           std::function<void(bool)> done) {
    cloud.terminate(machines, std::move(done));
  };
}

void connect_workers(production::Ports& ports, clients::WorkerRpc& worker_rpc) {
  ports.order = [&worker_rpc](const std::string& addr, std::uint64_t token, std::uint64_t epoch,
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

void connect_transport(production::Ports& ports, peer::Transport& transport) {
  // Decoded here because this version must be able to read all messages of the production version.
  ports.send = [&transport](const std::string& node, const std::string& bytes) {
    const auto message = peer::decode(bytes);
    if (node.empty()) {
      transport.broadcast(message);
    } else {
      transport.send(node, message);
    }
  };
  ports.flush = [&transport] { transport.flush(); };
}

/// A controller of the production version behind the interface of `OtherNode`.
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
    production::Ports production_ports;
    connect_time(production_ports, ports.event_loop);
    connect_reads(production_ports, ports.store);
    connect_writes(production_ports, ports.store);
    connect_cloud(production_ports, ports.cloud);
    connect_workers(production_ports, ports.worker_rpc);
    connect_transport(production_ports, ports.transport);
    return production_ports;
  }

  production::Node node_;
};

}  // namespace

std::unique_ptr<OtherNode> make_production_node(const OtherNodePorts& ports) {
  return std::make_unique<ProductionNode>(ports);
}

}  // namespace elmstall::test
