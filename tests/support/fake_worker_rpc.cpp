#include "support/fake_worker_rpc.hpp"

#include "support/world.hpp"

namespace elmstall::test {

using Outcome = clients::CommandResult::Outcome;

namespace {

constexpr double kTimeLimit = 2.0;
constexpr double kOneWayDelay = 0.002;

}  // namespace

void FakeWorkerRpc::send_commands(const std::string& addr, std::uint64_t token, std::uint64_t epoch,
                                  const std::vector<wire::WorkerCommand>& commands,
                                  std::function<void(clients::CommandResult)> done) {
  const auto found = world_.workers.find(addr);
  if (found == world_.workers.end() || world_.network.command_rpcs_blocked)
    return time_out(done, Outcome::not_sent);
  auto* worker = found->second.get();
  const Execute execute = [worker, token, epoch,
                           commands]() -> std::optional<clients::CommandResult> {
    if (worker->dead()) return std::nullopt;
    return worker->on_command_rpc(token, epoch, commands);
  };
  const Answered answered = [this, worker, token, epoch, commands] {
    world_.command_copies.on_answered(*worker, {{token, epoch, commands}, worker->last_serial()});
  };
  // Decided before the other faults: the order of random draws is part of a seed's history.
  const bool lost = request_lost(*worker);
  if (worker->hung()) {
    execute_after_hang(*worker, execute);
    return time_out(done, Outcome::unknown);
  }
  if (world_.network.command_delay_s > 0) {
    world_.loop.after(world_.network.command_delay_s, [execute] { (void)execute(); });
    return time_out(done, Outcome::unknown);
  }
  if (lost) return lose(execute, done);
  execute_now(execute, answered, done);
}

bool FakeWorkerRpc::request_lost(const FakeWorker& worker) {
  return worker.cut || worker.responses_dropped || world_.network.workers_cut(node_) ||
         !world_.reachable(node_, worker.zone()) || world_.random() < world_.network.loss;
}

void FakeWorkerRpc::time_out(const Done& done, Outcome outcome) {
  world_.loop.after(kTimeLimit, [done, outcome] { done({outcome, std::nullopt}); });
}

void FakeWorkerRpc::execute_after_hang(const FakeWorker& worker, const Execute& execute) {
  world_.loop.at(worker.hung_until() + 0.001, [execute] { (void)execute(); });
}

void FakeWorkerRpc::lose(const Execute& execute, const Done& done) {
  if (world_.random() < 0.4) return time_out(done, Outcome::not_sent);
  if (world_.random() < 0.7)
    world_.loop.after(1 + 60 * world_.random(), [execute] { (void)execute(); });
  time_out(done, Outcome::unknown);
}

void FakeWorkerRpc::execute_now(const Execute& execute, const Answered& answered,
                                const Done& done) {
  world_.loop.after(kOneWayDelay, [this, execute, answered, done] {
    auto result = execute();
    if (!result) return time_out(done, Outcome::not_sent);
    if (world_.on_commands) world_.on_commands();
    if (world_.network.command_replies_lost || world_.random() < world_.network.loss)
      return time_out(done, Outcome::unknown);
    if (result->outcome == Outcome::done) answered();
    world_.loop.after(kOneWayDelay, [done, result = std::move(*result)] { done(result); });
  });
}

}  // namespace elmstall::test
