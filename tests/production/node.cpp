/// \file
/// A controller of the production version behind the interface of `production::Node`. Compiled
/// against the sources of that version, whose namespace the build renames; see
/// tests/CMakeLists.txt.
#include "engine/node.hpp"

#include "support/production_node.hpp"

namespace production {
namespace {

// The build replaces `elmstall` with the namespace of the production version, in these files only.
namespace version = elmstall;
namespace fleet = version::fleet;
namespace ledger = version::ledger;
namespace wire = version::wire;

class Loop : public version::engine::EventLoop {
 public:
  explicit Loop(const Ports& ports) : ports_(ports) {}
  [[nodiscard]] double now() const override { return ports_.now(); }
  [[nodiscard]] double wall() const override { return ports_.wall(); }
  [[nodiscard]] double random() override { return ports_.random(); }
  void after(double seconds, std::function<void()> fn) override {
    ports_.after(seconds, std::move(fn));
  }
  void defer(std::function<void()> fn) override { ports_.after(0.0002, std::move(fn)); }

 private:
  const Ports& ports_;
};

class Store : public ledger::Store {
 public:
  explicit Store(const Ports& ports) : ports_(ports) {}
  void get(const std::string& key, std::function<void(ledger::GetResult)> done) override {
    ports_.get(key, [done](int outcome, Entry entry, std::uint64_t revision) {
      done({outcome_of(outcome), {entry.key, entry.value, entry.stamp}, revision});
    });
  }
  void list(const std::string& prefix, const std::string& since,
            std::function<void(ledger::ListResult)> done) override {
    ports_.list(prefix, since,
                [done](int outcome, const std::vector<Entry>& entries, bool truncated,
                       std::uint64_t revision) {
                  ledger::ListResult result{outcome_of(outcome), {{}, truncated, revision}};
                  for (const auto& entry : entries)
                    result.listing.entries.push_back({entry.key, entry.value, entry.stamp});
                  done(std::move(result));
                });
  }
  void watch(const std::string& prefix, std::uint64_t since, double hold_s,
             std::function<void(ledger::WatchResult)> done) override {
    ports_.watch(prefix, since, hold_s,
                 [done](int outcome, std::uint64_t revision, const std::vector<Change>& changes) {
                   ledger::WatchResult result{outcome_of(outcome), {revision, {}}};
                   for (const auto& change : changes)
                     result.changes.log.push_back({change.key, change.value, change.stamp});
                   done(std::move(result));
                 });
  }
  void commit(wire::Txn txn, std::function<void(ledger::CommitResult)> done) override {
    std::vector<Guard> guards;
    for (const auto& guard : txn.guards) guards.push_back({guard.key, guard.stamp});
    std::vector<Write> writes;
    for (const auto& write : txn.writes) writes.push_back({write.key, write.value, write.lease});
    ports_.commit(std::move(guards), std::move(writes),
                  [done](int outcome, std::uint64_t revision, std::vector<std::string> failed) {
                    done({outcome_of(outcome), revision, std::move(failed)});
                  });
  }
  void grant(double life_s, std::function<void(ledger::GrantResult)> done) override {
    ports_.grant(life_s, [done](int outcome, std::uint64_t lease) {
      done({outcome_of(outcome), lease});
    });
  }
  void renew(std::uint64_t lease, std::function<void(ledger::Outcome)> done) override {
    ports_.renew(lease, [done](int outcome) { done(outcome_of(outcome)); });
  }

 private:
  static ledger::Outcome outcome_of(int number) { return static_cast<ledger::Outcome>(number); }
  const Ports& ports_;
};

class Cloud : public fleet::Cloud {
 public:
  explicit Cloud(const Ports& ports) : ports_(ports) {}
  void machine_types(
      std::function<void(std::optional<std::vector<wire::MachineType>>)> done) override {
    ports_.machine_types([done](const std::optional<std::string>& packed) {
      if (!packed) return done(std::nullopt);
      done(wire::decode_machine_types(wire::Document::parse(*packed).root()));
    });
  }
  void list(const std::string& since,
            std::function<void(std::optional<wire::CloudPage>)> done) override {
    ports_.cloud_list(since, [done](const std::optional<std::vector<CloudHost>>& hosts) {
      if (!hosts) return done(std::nullopt);
      wire::CloudPage page;
      for (const auto& host : *hosts)
        page.hosts.push_back({host.id, host.addr, host.type, host.zone, host.spot,
                              static_cast<wire::CloudHost::State>(host.state), host.age_s});
      done(std::move(page));
    });
  }
  void rent(const std::string& name, const std::string& type, const std::string& zone, bool spot,
            int count, std::function<void(fleet::RentResult)> done) override {
    ports_.rent(name, type, zone, spot, count, [done](int outcome, std::vector<std::string> hosts) {
      done({static_cast<fleet::RentResult::Outcome>(outcome), std::move(hosts)});
    });
  }
  void release(const std::vector<std::string>& hosts, std::function<void(bool)> done) override {
    ports_.release(hosts, std::move(done));
  }

 private:
  const Ports& ports_;
};

class Workers : public fleet::Workers {
 public:
  explicit Workers(const Ports& ports) : ports_(ports) {}
  void order(const std::string& addr, std::uint64_t token, std::uint64_t session,
             const std::vector<wire::Order>& orders,
             std::function<void(fleet::OrdersResult)> done) override {
    ports_.order(addr, token, session, wire::encode_direct_orders(token, session, orders),
                 [done](int outcome, const std::optional<std::string>& report) {
                   fleet::OrdersResult result;
                   result.outcome = static_cast<fleet::OrdersResult::Outcome>(outcome);
                   if (report)
                     result.report = wire::decode_report(wire::Document::parse(*report).root());
                   done(std::move(result));
                 });
  }

 private:
  const Ports& ports_;
};

class Mesh : public version::mesh::Mesh {
 public:
  explicit Mesh(const Ports& ports) : ports_(ports) {}
  void broadcast(const version::mesh::Message& message) override { send("", message); }
  void send(const std::string& node, const version::mesh::Message& message) override {
    ports_.send(node, version::mesh::encode(message));
  }
  void flush() override { ports_.flush(); }

 private:
  const Ports& ports_;
};

version::config::Settings settings_of(const Settings& given) {
  version::config::Settings settings;
  settings.node = given.node;
  settings.zone = given.zone;
  for (const auto& peer : given.peers) settings.peers.push_back({peer.name, peer.zone, ""});
  settings.zones = given.zones;
  for (const auto& team : given.teams)
    settings.teams.push_back({team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max});
  for (const auto& objective : given.objectives)
    settings.objectives.push_back(
        {objective.kind, objective.job_class, objective.within_s, objective.share});
  settings.report_s = given.report_s;
  settings.lease_s = given.lease_s;
  settings.cancel_s = given.cancel_s;
  settings.state_rps = given.state_rps;
  settings.state_write_rps = given.state_write_rps;
  settings.state_value_kb = given.state_value_kb;
  settings.txn_ops = given.txn_ops;
  settings.cloud_rps = given.cloud_rps;
  settings.list_lag_s = given.list_lag_s;
  settings.cores = given.cores;
  settings.memory_mb = given.memory_mb;
  settings.fd_limit = given.fd_limit;
  return settings;
}

}  // namespace

struct Node::Parts {
  Parts(const Settings& given, Ports given_ports, const std::string& incarnation)
      : ports(std::move(given_ports)),
        settings(settings_of(given)),
        loop(ports),
        store(ports),
        cloud(ports),
        workers(ports),
        mesh(ports),
        node(settings, {loop, store, cloud, workers}, incarnation) {
    node.start(mesh);
  }
  Ports ports;
  version::config::Settings settings;
  Loop loop;
  Store store;
  Cloud cloud;
  Workers workers;
  Mesh mesh;
  version::engine::Node node;
};

Node::Node(const Settings& settings, Ports ports, const std::string& incarnation)
    : parts_(std::make_unique<Parts>(settings, std::move(ports), incarnation)) {}
Node::~Node() = default;

void Node::on_request(const std::string& method, const std::string& path, const std::string& body,
                      Respond respond) {
  parts_->node.on_request({method, path, body},
                          [respond = std::move(respond)](const version::net::Response& response) {
                            respond(response.status, response.body, response.retry_after_s);
                          });
}

void Node::on_message(const std::string& bytes) {
  parts_->node.on_message(version::mesh::decode(bytes));
}

bool Node::leads() const {
  auto* leader = parts_->node.leader();
  return leader != nullptr && leader->leader_lease_valid();
}

}  // namespace production
