#include "config/json_reader.h"

#include <utility>

namespace cottonwing::config {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxDescriptionBytes = 80;
constexpr char kNothing[] = "nothing";

}  // namespace

JsonReader::JsonReader(const Json& object, std::string path) : object_(&object), path_(std::move(path)) {}

std::string JsonReader::pathOf(const char* key) const { return path_.empty() ? key : path_ + "." + key; }

const Json* JsonReader::find(const char* key) const {
    const auto found = object_->find(key);
    return found == object_->end() ? nullptr : &*found;
}

bool JsonReader::has(const char* key) const { return find(key) != nullptr; }

const Json& JsonReader::required(const char* key) const {
    const Json* const value = find(key);
    if (value == nullptr) throw ConfigError(pathOf(key), "a value", kNothing);
    return *value;
}

std::string JsonReader::requiredString(const char* key) const {
    const Json& value = required(key);
    if (!value.is_string() || value.get_ref<const std::string&>().empty())
        throw ConfigError(pathOf(key), "a non-empty string", describe(value));
    return value.get<std::string>();
}

double JsonReader::requiredPositive(const char* key) const {
    const Json& value = required(key);
    if (!value.is_number() || !(value.get<double>() > 0))
        throw ConfigError(pathOf(key), "a number above 0", describe(value));
    return value.get<double>();
}

JsonReader JsonReader::requiredObject(const char* key) const {
    const Json& value = required(key);
    if (!value.is_object()) throw ConfigError(pathOf(key), "an object", describe(value));
    return {value, pathOf(key)};
}

JsonReader JsonReader::objectOrEmpty(const char* key) const {
    static const Json kEmpty = Json::object();
    const Json* const value = find(key);
    return {value == nullptr || !value->is_object() ? kEmpty : *value, pathOf(key)};
}

std::vector<JsonReader> JsonReader::listOrEmpty(const char* key) const {
    std::vector<JsonReader> entries;
    const Json* const list = find(key);
    if (list == nullptr) return entries;
    if (!list->is_array()) throw ConfigError(pathOf(key), "a list", describe(*list));
    for (const Json& entry : *list)
        entries.emplace_back(entry, pathOf(key) + "[" + std::to_string(entries.size()) + "]");
    return entries;
}

bool JsonReader::flagOr(const char* key, bool fallback) const {
    const Json* const value = find(key);
    if (value == nullptr) return fallback;
    if (!value->is_boolean()) throw ConfigError(pathOf(key), "true or false", describe(*value));
    return value->get<bool>();
}

std::vector<std::string> JsonReader::stringsOrEmpty(const char* key) const {
    std::vector<std::string> texts;
    const Json* const list = find(key);
    if (list == nullptr) return texts;
    if (!list->is_array()) throw ConfigError(pathOf(key), "a list of names", describe(*list));
    for (const Json& entry : *list) {
        if (!entry.is_string()) throw ConfigError(pathOf(key), "a list of names", describe(*list));
        texts.push_back(entry.get<std::string>());
    }
    return texts;
}

Duration JsonReader::microsecondsOr(const char* key, Duration fallback) const {
    if (!has(key) || find(key)->is_null()) return fallback;
    return std::chrono::microseconds(valueOr<std::int64_t>(key, 0));
}

std::string JsonReader::describe(const Json& value) {
    std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (text.size() > kMaxDescriptionBytes) text = text.substr(0, kMaxDescriptionBytes) + "...";
    return text;
}

}  // namespace cottonwing::config
