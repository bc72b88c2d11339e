// Group commit of the leader's records. Every transaction is guarded by the
// term and by the stamp of each record it changes, so what a former leader
// left behind in the network can't be applied.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "engine/queue.hpp"
#include "ledger/mirror.hpp"
#include "ledger/store.hpp"

namespace elmstall::engine {

class Committer {
 public:
  /// One record that this leader writes. `version` counts what is wanted,
  /// `written` what is known to be in the state service.
  struct Record {
    std::string key;
    std::string job;  ///< not empty: its record's stamp is guarded too
    std::function<std::string()> encode;
    std::uint64_t stamp = 0;
    std::uint64_t version = 0;
    std::uint64_t written = 0;
    bool remove = false;
    /// Keys that must not exist when this record is written.
    std::vector<std::string> absent;
    [[nodiscard]] bool clean() const { return written == version; }
  };
  /// The last word on a job, written together with the removal of its
  /// records.
  struct Final {
    std::string job;
    ledger::FinalRecord record;
    std::vector<Record*> blocks;
  };
  struct Events {
    std::function<void()> committed;
    std::function<void(const std::string& job)> finished;
    std::function<void()> deposed;
    /// A commit was answered; it was sent at this time.
    std::function<void(double sent)> confirmed;
  };

  Committer(const config::Settings& settings, Runtime& runtime, CommandQueue& queue, ledger::Store& store,
            const ledger::Mirror& mirror, std::uint64_t term_stamp, Events events);

  Record* add(std::string key, std::uint64_t stamp, std::string job, std::function<std::string()> encode);
  void touch(Record& record);
  /// Deletes the record and forgets it; the pointer is not to be used again.
  void discard(Record& record);
  void finish(Final final);
  [[nodiscard]] bool finishing(const std::string& job) const { return finals_.contains(job); }
  /// Sends the next transaction, if there is one and none is in flight.
  void flush();

 private:
  struct Pending {
    wire::Txn txn;
    std::size_t bytes = 0;
    std::vector<std::pair<std::string, std::uint64_t>> records;  ///< key and version
    std::vector<std::string> finals;
    double sent = 0;
  };

  [[nodiscard]] bool room(const Pending& pending, std::size_t writes, std::size_t bytes) const;
  void add_finals(Pending& pending);
  void add_records(Pending& pending);
  void on_result(const std::shared_ptr<Pending>& pending, const ledger::CommitResult& result);
  void succeed(const Pending& pending, std::uint64_t revision);
  void refresh(std::set<std::string> keys);
  void refresh_next();
  void pause(double seconds);
  void drop(const std::string& key);
  void finished(const std::string& job);

  const config::Settings& settings_;
  Runtime& runtime_;
  ledger::Store& store_;
  const ledger::Mirror& mirror_;
  std::uint64_t term_stamp_;
  Events events_;
  CommandScope scope_;
  std::map<std::string, std::unique_ptr<Record>> records_;
  std::set<std::string> dirty_;
  std::map<std::string, Final> finals_;
  std::set<std::string> stale_;  ///< keys whose stamp must be read again
  bool busy_ = false;
  std::uint64_t wait_revision_ = 0;  ///< not before the mirror is this far
};

}  // namespace elmstall::engine
