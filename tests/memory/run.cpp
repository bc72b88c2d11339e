#include "memory/run.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "store/records.hpp"
#include "support/jobs.hpp"

namespace elmstall::memory {

namespace {

constexpr std::size_t kControllers = 3;
constexpr int kWorkers = 28;
constexpr std::size_t kPage = 1000;      // entries
constexpr int kFirstSmallJob = 900'001;  // numbers of jobs that no load uses
// Seconds.
constexpr double kReadyLimit = 30;
constexpr double kPollInterval = 0.5;
constexpr double kWarmUp = 3;

soak::Options site_options(const RunOptions& options) {
  soak::Options site;
  site.binary = options.binary;
  site.controllers = kControllers;
  site.workers = kWorkers;
  site.state_page = kPage;
  return site;
}

double wall_clock() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

Run::Run(RunOptions options, const Load& load)
    : options_(std::move(options)), site_(io_, site_options(options_), 1, options_.folder) {
  record(load);
}

void Run::record(const Load& load) {
  auto& state = site_.world().state;
  for (const auto& job : load.jobs) {
    site_.world().register_job(job);
    wire::Transaction transaction;
    transaction.writes = {
        {store::job_key(job.id), store::encode(store::JobRecord{job, false, wall_clock()}), 0}};
    state.commit(transaction);
  }
}

RunResult Run::execute() {
  site_.start_controllers();
  if (!run_until_ready() || !run_for(options_.settle_s)) return result_;
  result_.first_small_job_s = run_small_job(kFirstSmallJob);
  const auto first = site_.leader();
  if (!first) {
    result_.failure = "no controller leads";
    return result_;
  }
  auto& controllers = site_.controllers();
  result_.first_leader_mb = controllers[*first]->peak_memory_mb();
  controllers[*first]->kill();
  if (!run_for(kWarmUp + options_.settle_s)) return result_;
  result_.second_small_job_s = run_small_job(kFirstSmallJob + 1);
  const auto second = site_.leader();
  for (std::size_t node = 0; node < controllers.size(); ++node) {
    if (!controllers[node]->running()) continue;
    auto& memory_mb = node == second ? result_.second_leader_mb : result_.follower_mb;
    memory_mb = std::max(memory_mb, controllers[node]->peak_memory_mb());
  }
  return result_;
}

bool Run::run_for(double seconds) {
  const double end = now() + seconds;
  while (now() < end) {
    io_.run_for(std::chrono::milliseconds(20));
    check_controllers();
    if (!result_.failure.empty()) return false;
  }
  return true;
}

bool Run::run_until_ready() {
  const double begin = now();
  while (!site_.leader()) {
    if (now() > begin + kReadyLimit) {
      result_.failure = "no controller leads after " + std::to_string(kReadyLimit) + " s";
      return false;
    }
    if (!run_for(kPollInterval)) return false;
  }
  return run_for(kWarmUp);
}

std::optional<double> Run::run_small_job(int number) {
  auto job = test::array(number, 3, 1);
  job.priority = wire::Priority::critical;
  job.image_gb = 0.1;
  const double begin = now();
  site_.world().submit(job);
  while (now() < begin + options_.small_job_limit_s && run_for(kPollInterval)) {
    site_.world().poll(job.id);
    if (site_.world().last_reported_state(job.id) == wire::JobState::done) return now() - begin;
  }
  return std::nullopt;
}

void Run::check_controllers() {
  for (auto& controller : site_.controllers()) {
    if (const auto end = controller->unexpected_exit())
      result_.failure = controller->log().string() + ": " + *end;
  }
}

}  // namespace elmstall::memory
