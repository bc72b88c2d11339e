#include "soak/run.hpp"

#include <algorithm>
#include <utility>

#include "support/jobs.hpp"
#include "support/requests.hpp"

namespace elmstall::soak {

namespace {

// Seconds.
constexpr double kReadyTimeout = 20;
constexpr double kWarmUp = 6;           ///< from readiness to the first fault
constexpr double kAnswerDeadline = 75;  ///< for a response on every job after the faults
constexpr double kSubmissionInterval = 0.4;
constexpr double kPollInterval = 0.2;
constexpr double kTimeStep = 0.05;

constexpr double kCancelShare = 0.4;
constexpr double kCancelAtEndShare = 0.3;
/// Tasks of the load that fills machines, for each machine; a machine holds two tasks.
constexpr double kBaseTasksPerWorker = 0.8;

wire::JobSpec random_job(test::World& world, int number) {
  const auto tasks = 1 + static_cast<std::uint32_t>(world.pick(3));
  const double draw = world.random();
  auto job = draw < 0.15   ? test::service(number, tasks)
             : draw < 0.25 ? test::gang(number, 2, 2)
                           : test::array(number, tasks, 0.5 + 2 * world.random());
  if (draw > 0.8) job.team = "red";  // the team with a limit
  if (draw > 0.9) job.zone = world.settings.zones[world.pick(2)];
  job.image_gb = 0.2;
  job.checkpoint_every_s = job.checkpoint_every_s > 0 ? 1 : 0;
  job.checkpoint_s = job.checkpoint_s > 0 ? 0.3 : 0;
  return job;
}

}  // namespace

Run::Run(const Options& options, unsigned seed, const std::filesystem::path& folder)
    : options_(options), folder_(folder), site_(io_, options, seed, folder) {
  write_plan(options, seed);
  signals_.async_wait([this](asio::error_code error, int) {
    if (!error) result_.interrupted = true;
  });
}

void Run::write_plan(const Options& options, unsigned seed) {
  plan_ =
      draw_plan({seed, kWarmUp, kWarmUp + options.duration_s, options.controllers, options.kinds});
  history_.open(folder_ / "history");
  history_ << "seed " << seed << ", " << options.controllers << " controllers, " << options.workers
           << " workers, " << options.duration_s << " s\n"
           << describe(plan_) << "\n";
  site_.world().rules.on_event = [this](double when, const std::string& event) {
    history_ << when << " " << event << "\n";
  };
}

RunResult Run::execute() {
  site_.start_controllers();
  if (!wait_until_ready()) return result_;
  const double begin = now();
  auto& world = site_.world();
  world.users.cross_check_states();
  world.on_last_task_end = [this](const std::string& job) {
    // Cancelled at the same time as its last task ends.
    if (site_.world().random() < kCancelAtEndShare) site_.world().cancel(job);
  };
  submit_base_load();
  for (const auto& fault : plan_) {
    world.loop.at(begin + fault.start_s, [this, fault] {
      ++result_.faults;
      history_ << now() << " fault " << to_text(fault.kind) << " node " << fault.node << "\n";
      site_.begin_fault(fault);
    });
  }
  run_user_load(begin + kWarmUp + options_.duration_s);
  if (result_.not_run.empty() && !result_.interrupted) verify_recovery();
  search_logs();
  result_.jobs = world.rules.accepted_jobs().size();
  result_.finished = world.rules.finished();
  result_.starts = world.rules.starts();
  for (const auto& rule : world.rules.violations()) result_.violations.push_back(rule);
  return std::move(result_);
}

bool Run::run_until(double end) {
  while (now() < end) {
    io_.run_for(std::chrono::milliseconds(20));
    check_controllers();
    if (result_.interrupted || !result_.not_run.empty()) return false;
  }
  return true;
}

bool Run::wait_until_ready() {
  // Shared, because the response may arrive after the wait.
  auto ready = std::make_shared<bool>(false);
  while (!*ready) {
    if (now() > kReadyTimeout) {
      result_.not_run = "no controller was ready after 20 s";
      return false;
    }
    site_.world().send_to_node(0, {"GET", "/ready", {}}, [ready](const net::Response& response) {
      constexpr int ok = 200;
      *ready = *ready || response.status == ok;
    });
    if (!run_until(now() + 4 * kPollInterval)) return false;
  }
  controllers_were_ready_ = true;
  return true;
}

void Run::submit_base_load() {
  const auto tasks = static_cast<std::uint32_t>(kBaseTasksPerWorker * options_.workers);
  constexpr double for_the_whole_run = 3000;
  auto job = test::array(++jobs_submitted_, std::max(tasks, 1U), for_the_whole_run);
  job.image_gb = 0.2;
  site_.world().submit(job);
}

void Run::submit_next_job() {
  auto& world = site_.world();
  const auto job = random_job(world, ++jobs_submitted_);
  world.submit(job);
  if (job.kind == wire::JobKind::service || world.random() < kCancelShare) {
    constexpr double latest = 8;
    world.loop.after(latest * world.random(), [&world, id = job.id] { world.cancel(id); });
  }
}

void Run::run_user_load(double end) {
  double next_submission = now();
  double next_poll = now();
  while (now() < end && run_until(now() + kTimeStep)) {
    if (now() >= next_submission) {
      submit_next_job();
      next_submission += 2 * kSubmissionInterval * site_.world().random();
    }
    if (now() >= next_poll) {
      const auto number = 1 + site_.world().pick(static_cast<std::size_t>(jobs_submitted_));
      site_.world().poll("job-" + std::to_string(number));
      next_poll += kPollInterval;
    }
  }
}

std::vector<std::string> Run::jobs_without_answer_since(double begin) {
  auto jobs = site_.world().rules.accepted_jobs();
  std::erase_if(jobs,
                [&](const auto& job) { return site_.world().last_response_at(job) >= begin; });
  return jobs;
}

void Run::verify_recovery() {
  site_.end_all_faults();
  const double begin = now();
  // Tasks of jobs that were cancelled last may run until this moment.
  const double earliest_end = begin + site_.world().settings.cancel_s + 1;
  auto missing = jobs_without_answer_since(begin);
  while ((!missing.empty() || now() < earliest_end) && now() < begin + kAnswerDeadline) {
    for (const auto& job : missing) site_.world().poll(job);
    if (!run_until(now() + 1)) return;
    missing = jobs_without_answer_since(begin);
  }
  for (const auto& job : missing) result_.violations.push_back("unanswered: " + job);
}

void Run::check_controllers() {
  for (auto& controller : site_.controllers()) {
    const auto end = controller->unexpected_exit();
    if (!end) continue;
    if (!controllers_were_ready_) {
      result_.not_run = controller->could_not_listen()
                            ? "a controller's port is in use, see " + controller->log().string()
                            : "a controller does not start (" + *end + ")";
      return;
    }
    result_.violations.push_back("exited: " + controller->log().string() + ": " + *end);
    controller->start();
  }
}

void Run::search_logs() {
  for (const auto& controller : site_.controllers()) {
    std::ifstream log(controller->log());
    for (std::string line; std::getline(log, line);) {
      if (line.find("answer withheld") != std::string::npos)
        result_.violations.push_back("withheld: " + line);
    }
  }
}

}  // namespace elmstall::soak
