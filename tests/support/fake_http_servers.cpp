#include "support/fake_http_servers.hpp"

#include <algorithm>

#include "config/constants.hpp"
#include "config/endpoint.hpp"

namespace elmstall::test {
namespace {

using store::Outcome;

std::string parameter(const std::string& path, const std::string& name) {
  const auto at = path.find(name + "=");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 1;
  return path.substr(from, path.find('&', from) - from);
}

wire::Transaction decode_transaction(const std::string& body) {
  const auto document = wire::Document::parse(body);
  const auto fields = document.fields();
  wire::Transaction transaction;
  const auto [precondition, guards_end] = wire::elements(fields.find("guards"), "guards");
  for (const auto* item = precondition; item != guards_end; ++item)
    transaction.preconditions.push_back(
        {wire::Fields(*item).text("key"), wire::Fields(*item).integer("stamp")});
  const auto [write, writes_end] = wire::elements(fields.find("writes"), "writes");
  for (const auto* item = write; item != writes_end; ++item) {
    const wire::Fields one(*item);
    if (const auto key = one.maybe_text("set"))
      transaction.writes.push_back(
          {*key, wire::pack_object(one.require("value")), one.integer_or("hold", 0)});
    else
      transaction.writes.push_back({one.text("delete"), std::nullopt, 0});
  }
  return transaction;
}

net::Response revision_response(int status, std::uint64_t revision) {
  wire::Packer packer;
  packer.map(1).key("ledger_rev").integer(revision);
  return {status, packer.take(), 0};
}

net::Response get_response(const store::GetResult& result) {
  if (result.outcome == Outcome::missing) return revision_response(404, result.revision);
  wire::Packer packer;
  packer.map(3)
      .key("key")
      .text(result.entry.key)
      .key("value")
      .raw(result.entry.value)
      .key("stamp")
      .integer(result.entry.mod_revision);
  return {200, packer.take(), 0};
}

net::Response list_response(const wire::Listing& listing) {
  wire::Packer packer;
  packer.map(3)
      .key("truncated")
      .flag(listing.truncated)
      .key("ledger_rev")
      .integer(listing.revision);
  packer.key("entries").list(listing.entries.size());
  for (const auto& entry : listing.entries)
    packer.map(3)
        .key("key")
        .text(entry.key)
        .key("value")
        .raw(entry.value)
        .key("stamp")
        .integer(entry.mod_revision);
  return {200, packer.take(), 0};
}

net::Response changes_response(const wire::Changes& changes) {
  wire::Packer packer;
  packer.map(2).key("ledger_rev").integer(changes.revision).key("log").list(changes.log.size());
  for (const auto& change : changes.log) {
    packer.map(change.value ? 3 : 2)
        .key(change.value ? "set" : "delete")
        .text(change.key)
        .key("stamp")
        .integer(change.mod_revision);
    if (change.value) packer.key("value").raw(*change.value);
  }
  return {200, packer.take(), 0};
}

net::Response commit_response(const store::CommitResult& result) {
  if (result.outcome == Outcome::ok) return revision_response(200, result.revision);
  wire::Packer packer;
  if (result.outcome == Outcome::no_lease) {
    packer.map(1).key("error").text("no such lease");
    return {400, packer.take(), 0};
  }
  packer.map(2).key("ledger_rev").integer(result.revision).key("failed").list(result.failed.size());
  for (const auto& key : result.failed) packer.text(key);
  return {409, packer.take(), 0};
}

constexpr net::ServerLimits kLimits{64, constants::kMaxBodyBytes};

}  // namespace

StateStoreServer::StateStoreServer(asio::io_context& io, World& world)
    : io_(io),
      world_(world),
      state_(world.state),
      server_(io, config::parse_endpoint("127.0.0.1:0"), kLimits,
              [this](const net::Request& request, net::Responder respond) {
                handle(request, std::move(respond));
              }) {}

void StateStoreServer::after(double seconds, std::function<void()> fn) {
  const auto delay = std::chrono::microseconds(static_cast<long>(seconds * 1e6));
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, fn = std::move(fn)](asio::error_code error) {
    if (!error) fn();
  });
}

void StateStoreServer::handle(const net::Request& request, net::Responder respond) {
  if (faults.max_added_delay_s <= 0 || request.path.starts_with("/follow"))
    return execute(request, std::move(respond));
  after(faults.max_added_delay_s * world_.random(),
        [this, request, respond = std::move(respond)] { execute(request, respond); });
}

void StateStoreServer::execute(const net::Request& request, net::Responder respond) {
  const auto& path = request.path;
  if (path.starts_with("/follow")) {
    return watch(parameter(path, "under"), std::stoull(parameter(path, "since")),
                 std::stod(parameter(path, "hold_ms")) / 1000, std::move(respond));
  }
  if (state_.down || faults.refused) return respond({503, {}, 0});
  if (path.starts_with("/kv?")) {
    return respond(list_response(
        state_.list(parameter(path, "under"), parameter(path, "since"), page_size).listing));
  }
  if (path.starts_with("/kv/")) return respond(get_response(state_.get(path.substr(4))));
  if (path == "/commit") return commit(request, respond);
  if (path == "/grants") {
    const auto document = wire::Document::parse(request.body);
    wire::Packer packer;
    packer.map(1).key("hold").integer(state_.grant(document.fields().number("life_ms") / 1000));
    return respond({200, packer.take(), 0});
  }
  if (path.ends_with("/renew"))
    return respond({state_.renew(std::stoull(path.substr(8))) ? 200 : 404, {}, 0});
  respond({400, {}, 0});
}

void StateStoreServer::commit(const net::Request& request, const net::Responder& respond) {
  auto transaction = decode_transaction(request.body);
  const double draw = world_.random();
  if (draw < faults.late_share) {
    constexpr double least_s = 2;
    constexpr double most_s = 6;
    return after(least_s + (most_s - least_s) * world_.random(),
                 [this, transaction = std::move(transaction)] {
                   if (!state_.down) (void)state_.commit(transaction);
                 });
  }
  const auto result = state_.commit(transaction);
  if (draw < faults.late_share + faults.unanswered_share) return;
  respond(commit_response(result));
}

void StateStoreServer::watch(const std::string& prefix, std::uint64_t since, double left_s,
                             net::Responder respond) {
  constexpr double step = 0.01;
  const bool stalled = state_.down || faults.refused;  // open watches report nothing
  if (!stalled) {
    const auto changes = state_.changes(prefix, since);
    if (!changes) return respond({410, {}, 0});
    if (!changes->log.empty() || left_s <= 0) {
      return after(faults.watch_lag_s, [respond = std::move(respond), changes = *changes] {
        respond(changes_response(changes));
      });
    }
  } else if (left_s <= 0) {
    return respond({503, {}, 0});
  }
  after(step, [this, prefix, since, left_s, respond = std::move(respond)] {
    watch(prefix, since, left_s - step, respond);
  });
}

CloudServer::CloudServer(asio::io_context& io, World& world)
    : world_(world),
      server_(io, config::parse_endpoint("127.0.0.1:0"), kLimits,
              [this](const net::Request& request, net::Responder respond) {
                handle(request, std::move(respond));
              }) {}

void CloudServer::handle(const net::Request& request, net::Responder respond) {
  if (request.path == "/flavors")
    return respond({200, wire::encode_machine_types(world_.machine_types), 0});
  if (request.method == "GET") {
    return world_.cloud.list("", [respond, this](const std::optional<wire::CloudPage>& page) {
      if (!page) return respond({503, {}, 0});
      wire::Packer packer;
      packer.map(2).key("truncated").flag(false).key("hosts").list(page->machines.size());
      for (const auto& machine : page->machines) {
        packer.map(6)
            .key("uid")
            .text(machine.id)
            .key("addr")
            .text(world_.worker_address ? world_.worker_address(machine.id) : "127.0.0.1:1")
            .key("build")
            .text(machine.type)
            .key("yard")
            .text(machine.zone);
        packer.key("loaners").flag(machine.spot).key("status").text("running");
      }
      respond({200, packer.take(), 0});
    });
  }
  const auto document = wire::Document::parse(request.body);
  const auto fields = document.fields();
  if (request.path == "/hosts/release") {
    return world_.cloud.terminate(wire::decode_machine_ids(document.root()), [respond](bool ok) {
      respond({ok ? 200 : 503, {}, 0});
    });
  }
  world_.cloud.provision(
      fields.text("hire"), fields.text("build"), fields.text("yard"),
      fields.flag_or("loaners", false), static_cast<int>(fields.integer("count")),
      [respond](const clients::ProvisionResult& result) {
        using Result = clients::ProvisionResult::Outcome;
        wire::Packer none;
        none.map(1).key("error").text("no capacity");
        if (result.outcome == Result::ok)
          respond({200, wire::encode_machine_ids(result.machines), 0});
        else
          respond({result.outcome == Result::unknown ? 500 : 503, none.take(), 0});
      });
}

std::string WorkerServers::address_of(const std::string& machine) {
  auto& server = servers_[machine];
  if (!server) {
    server = std::make_unique<net::HttpServer>(
        io_, config::parse_endpoint("127.0.0.1:0"), kLimits,
        [this, machine](const net::Request& request, const net::Responder& respond) {
          handle(machine, request, respond);
        });
  }
  return "127.0.0.1:" + std::to_string(server->port());
}

void WorkerServers::handle(const std::string& machine, const net::Request& request,
                           const net::Responder& respond) {
  const auto found = world_.workers.find(machine);
  if (found == world_.workers.end() || request.path != "/orders") return respond({404, {}, 0});
  auto* worker = found->second.get();
  const auto document = wire::Document::parse(request.body);
  const auto envelope = wire::decode_commands(document.root());
  const auto execute = [worker, envelope]() -> std::optional<net::Response> {
    if (worker->dead()) return std::nullopt;
    const auto result = worker->on_command_rpc(envelope.token, envelope.epoch, envelope.commands);
    const bool done = result.outcome == clients::CommandResult::Outcome::done;
    return net::Response{done ? 200 : 409, wire::encode_heartbeat(*result.heartbeat), 0};
  };
  // Without a reply the caller can't determine whether the commands were or will be executed.
  if (worker->dead() || worker->cut || worker->responses_dropped) return;
  if (worker->hung()) return world_.loop.at(worker->hung_until(), [execute] { (void)execute(); });
  if (world_.network.command_delay_s > 0)
    return world_.loop.after(world_.network.command_delay_s, [execute] { (void)execute(); });
  const auto response = execute();
  if (!response || world_.network.command_replies_lost) return;
  constexpr int ok = 200;
  if (response->status == ok)
    world_.command_copies.on_answered(*worker, {envelope, worker->last_serial()});
  respond(*response);
}

}  // namespace elmstall::test
