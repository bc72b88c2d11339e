/// \file
/// Steps and checks shared by the tests with random histories.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>

#include "support/faults.hpp"
#include "support/waiting_jobs.hpp"

namespace elmstall::test {

/// Limits that the state store announces in some histories. A block of the test world and the
/// record of a job fit only just.
inline constexpr config::StateLimits kLowerLimits{120, 18, 0.8, 4};

/// Last seed to run: `usual`, or for longer searches the environment's ELMSTALL_CHAOS_SEEDS.
inline unsigned last_seed(unsigned usual) {
  const char* wanted = std::getenv("ELMSTALL_CHAOS_SEEDS");
  return wanted == nullptr ? usual : static_cast<unsigned>(std::max(1, std::atoi(wanted)));
}

/// Begins a random fault of `concurrent_faults`; returns its entry for the fault log.
inline std::string begin_random_fault(World& world, double now) {
  const auto& faults = concurrent_faults();
  const auto& fault = faults[world.pick(faults.size())];
  fault.begin(world, world.pick(3), 2 + world.random() * 20);
  return " | " + std::to_string(static_cast<int>(now)) + " s: " + fault.name;
}

/// One second of the users of `job-1` to `job-<jobs>`: with this probability they cancel a random
/// job, and they poll a random one.
inline void cancel_and_poll_random_jobs(World& world, int jobs, double cancel_probability) {
  if (jobs == 0) return;
  const auto random_job_id = [&] {
    return "job-" + std::to_string(1 + world.pick(static_cast<std::size_t>(jobs)));
  };
  if (world.random() < cancel_probability) world.cancel(random_job_id());
  world.poll(random_job_id());
}

/// Polls a fifth of the jobs; in five successive seconds each job is polled once.
inline void poll_one_fifth(World& world, int jobs, double now) {
  for (int job = 1; job <= jobs; ++job) {
    if (job % 5 == static_cast<int>(now) % 5) world.poll("job-" + std::to_string(job));
  }
}

/// Checks the 110 s that follow the end of the last fault at `faults_end`: from 75 s on every
/// accepted job was polled with success in the last 75 s, no job waits for 90 s although there is
/// room, and the rules hold.
inline void expect_recovery(World& world, int jobs, double faults_end,
                            const std::string& fault_log) {
  world.run_until(faults_end);
  world.network.loss = 0;
  std::map<std::string, double> waiting_since;
  for (double t = faults_end; t < faults_end + 110; t += 1) {
    world.run_until(t);
    poll_one_fifth(world, jobs, t);
    const auto waiting = jobs_waiting_despite_capacity(world);
    std::erase_if(waiting_since, [&](const auto& entry) {
      return std::find(waiting.begin(), waiting.end(), entry.first) == waiting.end();
    });
    for (const auto& id : waiting) {
      const double since = waiting_since.try_emplace(id, t).first->second;
      ASSERT_LT(t - since, 90) << id << " waits despite free capacity" << fault_log;
    }
    for (const auto& id : world.rules.accepted_jobs())
      ASSERT_TRUE(t < faults_end + 75 || world.last_response_at(id) > t - 75)
          << id << " had no successful poll" << fault_log;
    ASSERT_EQ(world.rules.first_violation(), "") << "at " << t << " s" << fault_log;
  }
}

}  // namespace elmstall::test
