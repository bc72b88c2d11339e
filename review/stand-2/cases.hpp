// The cases of the second review. Each returns 0 if the rule held, 1 if it was broken, 2 if the
// case could not run.
#pragma once

#include <string>

namespace review {

struct Options {
  std::string program;  // of the controllers
  std::string folder;   // for settings and logs
  std::string record;   // file for the record
  bool trouble = true;  // false: without the disruption
};

int closing_state_service(const Options& options);
int stale_leader_deletes(const Options& options);
int memory_of_groups(const Options& options);
int group_over_limit(const Options& options);
int empty_builds(const Options& options);

}  // namespace review
