/// @file
/// The one error type of the configuration readers.
#pragma once

#include <stdexcept>
#include <string>

namespace cottonwing::config {

/// A part of the configuration that can't be used. The program ends with exit code 2 when this comes up at
/// its start, and keeps its present configuration when it comes up at a reload.
class ConfigError : public std::runtime_error {
public:
    /// @param path      where it stands: a variable (`GW_LOG`) or the path of a key (`limits.sockets`)
    /// @param expected  what should stand there, as a noun phrase
    /// @param found     what stands there; empty when that says nothing more
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
