/// \file
/// Gang execution on workers: the tasks of an attempt wait for each other, run together, and end
/// together.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace elmstall::test {

class FakeWorker;
class World;

/// Sets the states of the tasks of each gang, which their workers then report. Progress carries
/// over to the next attempt as far as checkpoints were saved.
class FakeGangs {
 public:
  explicit FakeGangs(World& world) : world_(world) {}

  /// A task of the attempt on a worker; `serial` distinguishes successive starts.
  struct Member {
    FakeWorker* worker = nullptr;
    std::uint64_t serial = 0;
    bool stop_requested = false;  ///< a stop with a grace period was requested
    bool saved = false;
  };

  /// The task has fetched its image and waits for the others.
  void join(const std::string& job, std::uint32_t index, std::uint64_t attempt, Member member);
  /// The task has exited or was killed, or its machine is lost.
  void leave(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  /// Stops the task with a grace period; false if the gang is not running.
  bool stop(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  [[nodiscard]] bool completed(const std::string& job) const { return completed_.contains(job); }

  // Counters for tests.

  /// Attempts that ran, that failed, and whose tasks all saved a checkpoint.
  [[nodiscard]] std::size_t attempts_started() const { return attempts_started_; }
  [[nodiscard]] std::size_t attempts_failed() const { return attempts_failed_; }
  [[nodiscard]] std::size_t attempts_saved() const { return attempts_saved_; }
  /// Seconds of the job's run time that are saved in checkpoints.
  [[nodiscard]] double progress(const std::string& job) const;

 private:
  using AttemptKey = std::pair<std::string, std::uint64_t>;  ///< job and attempt
  struct Attempt {
    std::map<std::uint32_t, Member> members;
    bool started = false;
    bool ended = false;  ///< completed, failed or saved
    double started_at = 0;
    double first_stop_at = -1;
    double hung_since = -1;
  };

  void start(const AttemptKey& key, Attempt& attempt);
  void check_attempt(const AttemptKey& key);
  void complete(const AttemptKey& key, Attempt& attempt);
  void fail(const AttemptKey& key, Attempt& attempt, double within_s);
  void check_saved(const AttemptKey& key, Attempt& attempt);
  [[nodiscard]] double run_time(const std::string& job);
  /// Progress of the job in seconds, up to now or to the first stop request.
  [[nodiscard]] double total_progress(const AttemptKey& key, const Attempt& attempt);

  World& world_;
  std::map<AttemptKey, Attempt> attempts_;
  std::map<std::string, double> run_times_;
  std::map<std::string, double> saved_progress_;  ///< seconds saved in checkpoints
  std::map<std::string, bool> completed_;
  std::size_t attempts_started_ = 0, attempts_failed_ = 0, attempts_saved_ = 0;
};

}  // namespace elmstall::test
