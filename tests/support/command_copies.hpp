/// \file
/// Late copies of command RPCs that a worker executed and answered before.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "wire/workers.hpp"

namespace elmstall::test {

class FakeWorker;
class World;

/// A command RPC that a worker has executed and answered.
struct AnsweredCommands {
  wire::CommandEnvelope envelope;
  /// Serial number of the last task that the worker had started when it had executed the RPC.
  std::uint64_t last_serial = 0;
};

/// Delivers copies to the workers: at the moment of the answer, up to seconds later, and up to some
/// leases later; and, while the fault lasts, in the moment in which the worker clears an attempt.
/// Draws from a generator of its own, so that the other draws of a seed stay as they are.
class CommandCopies {
 public:
  CommandCopies(World& world, unsigned seed) : world_(world), generator_(seed) {}

  /// From now on copies are made of this share of the answered RPCs.
  void begin(double share) { share_ = share; }
  /// No further copies are made. Those under way still arrive.
  void end();
  /// The fault, at a time and for as long as this object's generator draws.
  void plan(double earliest_s, double latest_s);

  /// To be called when the worker has executed and answered a command RPC.
  void on_answered(FakeWorker& worker, const AnsweredCommands& commands);
  /// To be called when the worker has cleared attempts.
  void on_cleared(FakeWorker& worker);
  /// Set by tests that make copies themselves: called for each RPC that a worker has answered.
  std::function<void(FakeWorker&, const AnsweredCommands&)> on_executed;
  /// Number of copies that have arrived.
  [[nodiscard]] std::size_t delivered() const { return delivered_; }

 private:
  [[nodiscard]] double draw() { return std::uniform_real_distribution<double>(0, 1)(generator_); }
  [[nodiscard]] double draw_delay();
  void deliver(FakeWorker& worker, const AnsweredCommands& commands);

  World& world_;
  std::mt19937 generator_;
  double share_ = 0;
  std::size_t delivered_ = 0;
  std::map<std::string, std::vector<AnsweredCommands>> answered_;  ///< by machine
};

}  // namespace elmstall::test
