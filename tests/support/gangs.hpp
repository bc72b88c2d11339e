/// \file
/// Gangs as workers run them: the tasks of an attempt wait for each other, run together, and end
/// together.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace elmstall::test {

class FakeWorker;
class World;

/// Decides for the tasks of each gang what its workers then show. Progress is kept between attempts
/// as far as checkpoints were saved.
class FakeGangs {
 public:
  explicit FakeGangs(World& world) : world_(world) {}

  /// A task of the attempt on a worker; `serial` tells one start from another.
  struct Member {
    FakeWorker* worker = nullptr;
    std::uint64_t serial = 0;
    bool told = false;  ///< it was told to stop with a grace period
    bool saved = false;
  };

  /// The task has its image and waits for the others.
  void join(const std::string& job, std::uint32_t index, std::uint64_t attempt, Member member);
  /// The task has exited or was killed, or its machine is lost.
  void leave(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  /// The task was told to stop with a grace period; false if the gang is not running.
  bool stop(const std::string& job, std::uint32_t index, std::uint64_t attempt);
  [[nodiscard]] bool completed(const std::string& job) const { return done_.contains(job); }

  // What happened so far, for tests.

  /// Attempts that ran, that failed, and that were saved whole.
  [[nodiscard]] std::size_t begun() const { return begun_; }
  [[nodiscard]] std::size_t failed() const { return failed_; }
  [[nodiscard]] std::size_t saved() const { return saves_; }
  /// Seconds of the job's run time that are saved in checkpoints.
  [[nodiscard]] double progress(const std::string& job) const;

 private:
  using Name = std::pair<std::string, std::uint64_t>;  ///< job and attempt
  struct Attempt {
    std::map<std::uint32_t, Member> members;
    bool begun = false;
    bool over = false;  ///< completed, failed or saved
    double begun_at = 0;
    double first_stop = -1;
    double hung_since = -1;
  };

  void begin(const Name& name, Attempt& attempt);
  void watch(const Name& name);
  void complete(const Name& name, Attempt& attempt);
  void fail(const Name& name, Attempt& attempt, double within_s);
  void check_saved(const Name& name, Attempt& attempt);
  [[nodiscard]] double run_time(const std::string& job);
  /// Of the whole job, up to now or to the first stop.
  [[nodiscard]] double reached(const Name& name, const Attempt& attempt);

  World& world_;
  std::map<Name, Attempt> attempts_;
  std::map<std::string, double> run_times_;
  std::map<std::string, double> progress_;  ///< safe
  std::map<std::string, bool> done_;
  std::size_t begun_ = 0, failed_ = 0, saves_ = 0;
};

}  // namespace elmstall::test
