/// \file
/// A command RPC that a test keeps, to let a copy of it arrive later.
#pragma once

#include "support/world.hpp"

namespace elmstall::test {

/// The first RPC with a command of this kind that a worker executes from now on.
class CapturedCommand {
 public:
  CapturedCommand(World& world, wire::Verb verb) : world_(world) {
    world_.command_copies.on_executed = [this, verb](FakeWorker& worker,
                                                     const AnsweredCommands& commands) {
      for (const auto& command : commands.envelope.commands) {
        if (command.verb != verb || worker_ != nullptr) continue;
        worker_ = &worker;
        commands_ = commands;
      }
    };
  }
  ~CapturedCommand() { world_.command_copies.on_executed = {}; }
  CapturedCommand(const CapturedCommand&) = delete;
  CapturedCommand& operator=(const CapturedCommand&) = delete;

  [[nodiscard]] FakeWorker* worker() const { return worker_; }
  /// A copy arrives now.
  void repeat() const { worker_->on_command_copy(commands_); }

 private:
  World& world_;
  FakeWorker* worker_ = nullptr;
  AnsweredCommands commands_;
};

}  // namespace elmstall::test
