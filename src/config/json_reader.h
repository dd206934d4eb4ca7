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

/// A JSON object together with the path at which it stands. It refers to the document, which has to outlive
/// it. A value that is no object reads as an object without fields.
class JsonReader {
public:
    /// @param path  of the object, such as `settings.family_info`; empty for the document itself
    JsonReader(const nlohmann::json& object, std::string path);

    /// The path of a field, such as `settings.family_info.cores`.
    std::string pathOf(const char* key) const;
    bool has(const char* key) const;

    /// The field; throws when it is missing. `null` is a value here.
    const nlohmann::json& required(const char* key) const;
    /// The field, or null when it is missing. `null` is a value here.
    const nlohmann::json* find(const char* key) const;

    /// A text of at least one byte; throws when it is missing.
    std::string requiredString(const char* key) const;
    /// A number above 0; throws when it is missing.
    double requiredPositive(const char* key) const;
    /// An object; throws when it is missing.
    JsonReader requiredObject(const char* key) const;

    /// An object; one without fields when it is missing or is no object.
    JsonReader objectOrEmpty(const char* key) const;
    /// The entries of a list; none when it is missing. Throws when it is no list.
    std::vector<JsonReader> listOrEmpty(const char* key) const;
    /// `true` or `false`; throws on everything else, `null` included.
    bool flagOr(const char* key, bool fallback) const;
    /// A list of texts; throws on everything else, `null` included.
    std::vector<std::string> stringsOrEmpty(const char* key) const;

    /// A value of the type T; the fallback when it is missing or `null`.
    template <typename T>
    T valueOr(const char* key, T fallback) const {
        const nlohmann::json* const value = find(key);
        if (value == nullptr || value->is_null()) return fallback;
        try {
            return value->get<T>();
        } catch (const nlohmann::json::exception&) {
            throw ConfigError(pathOf(key), "a value of another type", describe(*value));
        }
    }

    /// A time that stands in whole microseconds.
    Duration microsecondsOr(const char* key, Duration fallback) const;

    /// One of the words in the table; the fallback when it is missing, `null` or empty.
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
    /// The value as JSON, cut to a length that fits a message.
    static std::string describe(const nlohmann::json& value);

    const nlohmann::json* object_;
    std::string path_;
};

}  // namespace cottonwing::config
