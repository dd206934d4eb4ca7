/// @file
/// The error type of all configuration readers.
#pragma once

#include <stdexcept>
#include <string>

namespace cottonwing::config {

/// An invalid part of the configuration. At startup, the program exits with code 2; on a reload, it keeps its
/// current configuration.
class ConfigError : public std::runtime_error {
public:
    /// @param path      the environment variable (`GW_LOG`) or the path of the key (`limits.sockets`)
    /// @param expected  what is expected there, as a noun phrase
    /// @param found     the value found there; empty if it adds no information
    ConfigError(const std::string& path, const std::string& expected, const std::string& found = {});

    const std::string& path() const { return path_; }
    const std::string& expected() const { return expected_; }
    const std::string& found() const { return found_; }

private:
    std::string path_;
    std::string expected_;
    std::string found_;
};

}  // namespace cottonwing::config
