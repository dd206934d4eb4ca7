/// @file
/// Typed access to the fields of a JSON object. Every error is a ConfigError with the path of the field.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/config_error.h"
#include "overload/types.h"

namespace cottonwing::config {

/// A JSON object with its path in the document. Refers to the document, which must outlive it. A value that
/// is not an object is read as an empty object.
class JsonReader {
public:
    /// @param path  of the object, such as `settings.family_info`; empty for the document itself
    JsonReader(const nlohmann::json& object, std::string path);

    /// The path of a field, such as `settings.family_info.cores`.
    std::string pathOf(const char* key) const;
    bool has(const char* key) const;

    /// The field; throws if it is missing. `null` counts as a value.
    const nlohmann::json& required(const char* key) const;
    /// The field, or a null pointer if it is missing. JSON `null` counts as a value.
    const nlohmann::json* find(const char* key) const;

    /// A non-empty string; throws if it is missing.
    std::string requiredString(const char* key) const;
    /// A number above 0; throws if it is missing.
    double requiredPositive(const char* key) const;
    /// An object; throws if it is missing.
    JsonReader requiredObject(const char* key) const;

    /// An object; empty if the field is missing or not an object.
    JsonReader objectOrEmpty(const char* key) const;
    /// The entries of a list; empty if it is missing. Throws if it is not a list.
    std::vector<JsonReader> listOrEmpty(const char* key) const;
    /// `true` or `false`; throws on any other value, including `null`.
    bool flagOr(const char* key, bool fallback) const;
    /// A list of strings, empty if it is missing; throws on any other value, including `null`.
    std::vector<std::string> stringsOrEmpty(const char* key) const;

    /// A value of type T; the fallback if it is missing or `null`.
    template <typename T>
    T valueOr(const char* key, T fallback) const {
        const nlohmann::json* const value = find(key);
        if (value == nullptr || value->is_null()) return fallback;
        try {
            return value->get<T>();
        } catch (const nlohmann::json::exception&) {
            throw ConfigError(pathOf(key), "a value of a different type", describe(*value));
        }
    }

    /// A duration given in whole microseconds.
    Duration microsecondsOr(const char* key, Duration fallback) const;

    /// The enumerator for one of the words in the table; the fallback if it is missing, `null` or empty.
    template <typename T>
    T choiceOr(const char* key, const std::map<std::string, T>& words, T fallback) const {
        const auto word = valueOr<std::string>(key, "");
        if (word.empty()) return fallback;
        const auto found = words.find(word);
        if (found != words.end()) return found->second;
        std::string known;
        for (const auto& [name, meaning] : words) known += (known.empty() ? "" : ", ") + name;
        throw ConfigError(pathOf(key), "one of " + known, "'" + word + "'");
    }

private:
    /// The value as JSON, truncated to fit into an error message.
    static std::string describe(const nlohmann::json& value);

    const nlohmann::json* object_;
    std::string path_;
};

}  // namespace cottonwing::config
