#include "config/config_error.h"

namespace cottonwing::config {

ConfigError::ConfigError(const std::string& path, const std::string& expected, const std::string& found)
    : std::runtime_error(path + ": expected " + expected + (found.empty() ? "" : ", found " + found)),
      path_(path),
      expected_(expected),
      found_(found) {}

}  // namespace cottonwing::config
