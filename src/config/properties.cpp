#include "config/properties.hpp"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/Util/PropertyFileConfiguration.h>

#include <algorithm>
#include <fstream>

#include "config/settings.hpp"

namespace elmstall::config {
namespace {

/// Keys as written, with dots, whatever their nesting.
void collect(const Poco::Util::AbstractConfiguration& source, const std::string& prefix,
             std::vector<std::string>& keys) {
  Poco::Util::AbstractConfiguration::Keys names;
  source.keys(prefix, names);
  if (names.empty() && !prefix.empty()) keys.push_back(prefix);
  for (const auto& name : names) {
    std::string key = prefix;
    if (!key.empty()) key += '.';
    collect(source, key.append(name), keys);
  }
}

std::string shown(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

}  // namespace

const std::vector<Property>& properties() {
  static const std::vector<Property> all{
      {"sched.threshold.tasks", "tasks", 0, 1000, &Tuning::threshold_tasks,
       "z above the group's mean before a list sends out its excess"},
      {"sched.small.first", "share", 0, 100, &Tuning::small_first,
       "weight of a job's remaining work in the order of the lists"},
      {"fleet.idle.share", "share of ready_s", 0, 100, &Tuning::idle_share,
       "how long an idle machine is kept"},
      {"fleet.headroom.machines", "machines", 0, 1000, &Tuning::headroom_machines,
       "ordinary room kept free"},
      {"fleet.headroom.share", "share", 0, 10, &Tuning::headroom_share,
       "more of it, by the ordinary work there is"},
      {"fleet.foresight", "share", 0, 10, &Tuning::foresight,
       "how far the demand one boot ahead is acted upon"},
      {"users.requests.max", "requests", constants::kLimitMin, 100000, &Tuning::requests_max,
       "upper bound of the self-adjusting limit"},
  };
  return all;
}

Tuning load_properties(const std::filesystem::path& file) {
  if (!std::ifstream(file)) throw SettingsError(file.string() + ": cannot be read");
  Poco::AutoPtr<Poco::Util::PropertyFileConfiguration> source;
  try {
    source = new Poco::Util::PropertyFileConfiguration(file.string());
  } catch (const Poco::Exception& error) {
    throw SettingsError(file.string() + ": " + error.displayText());
  }
  std::vector<std::string> keys;
  collect(*source, "", keys);
  Tuning tuning;
  for (const auto& key : keys) {
    const auto& known = properties();
    const auto found = std::find_if(known.begin(), known.end(),
                                    [&](const Property& one) { return one.key == key; });
    if (found == known.end())
      throw SettingsError(file.string() + ": " + key + ": there is no such property");
    double value = 0;
    if (!Poco::NumberParser::tryParseFloat(source->getString(key), value))
      throw SettingsError(file.string() + ": " + key + ": must be a number");
    if (!(value >= found->low && value <= found->high)) {
      throw SettingsError(file.string() + ": " + key + ": must lie between " + shown(found->low) +
                          " and " + shown(found->high));
    }
    tuning.*(found->field) = value;
  }
  return tuning;
}

}  // namespace elmstall::config
