#include "routing/route_table.h"

#include <algorithm>
#include <stdexcept>
#include <unordered_map>

namespace cottonwing::routing {

namespace {

// "/a/b" has the segments a and b, "/a/" has a and an empty one, "/" has one empty one.
bool segmentsOf(std::string_view path, std::vector<std::string_view>& to) {
    to.clear();
    if (path.empty() || path.front() != '/') return false;
    for (std::size_t at = 1;;) {
        const std::size_t end = std::min(path.find('/', at), path.size());
        to.push_back(path.substr(at, end - at));
        if (to.size() > Routes::kMostSegments) return false;
        if (end == path.size()) return true;
        at = end + 1;
    }
}

bool isName(std::string_view segment) { return segment.size() > 1 && segment.front() == ':'; }

bool fits(const Route& route, std::string_view method, const HeaderOf& header) {
    if (!route.methods.empty() &&
        std::find(route.methods.begin(), route.methods.end(), method) == route.methods.end())
        return false;
    return std::all_of(route.headers.begin(), route.headers.end(), [&](const auto& wanted) {
        return header(wanted.first) == std::string_view(wanted.second);
    });
}

std::size_t conditions(const Route& route) { return (route.methods.empty() ? 0 : 1) + route.headers.size(); }

struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
};

}  // namespace

struct Routes::Node {
    std::unordered_map<std::string, std::unique_ptr<Node>, Hash, std::equal_to<>> words;
    std::unique_ptr<Node> any;                        // one segment, whatever it is
    std::vector<std::unique_ptr<Route>> here, below;  // that end here; that take whatever follows
};

Routes::Routes() : root_(std::make_unique<Node>()) {}
Routes::~Routes() = default;
Routes::Routes(Routes&&) noexcept = default;
Routes& Routes::operator=(Routes&&) noexcept = default;

std::optional<std::string> Routes::wrong(std::string_view path) {
    if (path.empty() || path.front() != '/') return "a path that begins with '/' was expected";
    std::vector<std::string_view> segments;
    if (!segmentsOf(path, segments))
        return "at most " + std::to_string(kMostSegments) + " segments were expected";
    for (std::size_t at = 0; at < segments.size(); ++at) {
        if (segments[at] == ":") return "a name was expected behind ':'";
        if (segments[at].find('*') != std::string_view::npos &&
            (segments[at] != "*" || at + 1 != segments.size()))
            return "'*' was expected only as the last segment, '/*'";
    }
    return std::nullopt;
}

const Route* Routes::add(Route route) {
    if (const auto what = wrong(route.path)) throw std::invalid_argument(route.path + ": " + *what);
    std::vector<std::string_view> segments;
    segmentsOf(route.path, segments);
    const bool below = segments.back() == "*";
    if (below) segments.pop_back();
    Node* node = root_.get();
    for (const std::string_view segment : segments) {
        std::unique_ptr<Node>& next = isName(segment) ? node->any : node->words[std::string(segment)];
        if (!next) next = std::make_unique<Node>();
        node = next.get();
    }
    auto& list = below ? node->below : node->here;
    // Those with more conditions first; among equals the earlier.
    auto place = list.begin();
    for (; place != list.end() && conditions(**place) >= conditions(route); ++place)
        if ((*place)->methods == route.methods && (*place)->headers == route.headers) return place->get();
    list.insert(place, std::make_unique<Route>(std::move(route)));
    ++size_;
    return nullptr;
}

std::optional<Taken> Routes::find(std::string_view path, std::string_view method,
                                  const HeaderOf& header) const {
    std::vector<std::string_view> segments;
    if (!segmentsOf(path, segments)) return std::nullopt;
    const auto firstOf = [&](const std::vector<std::unique_ptr<Route>>& list) -> const Route* {
        for (const auto& route : list)
            if (fits(*route, method, header)) return route.get();
        return nullptr;
    };
    // Depth first, the word before any one before whatever follows. Each step back is bounded by the depth,
    // and a node is reached by one way only, so no path is tried twice.
    const Route* found = nullptr;
    const auto look = [&](const auto& self, const Node& node, std::size_t at) -> bool {
        if (at == segments.size()) {
            if ((found = firstOf(node.here)) != nullptr) return true;
            return (found = firstOf(node.below)) != nullptr;
        }
        if (const auto word = node.words.find(segments[at]);
            word != node.words.end() && self(self, *word->second, at + 1))
            return true;
        if (node.any && self(self, *node.any, at + 1)) return true;
        return (found = firstOf(node.below)) != nullptr;
    };
    if (!look(look, *root_, 0)) return std::nullopt;
    Taken taken{found, {}};
    std::vector<std::string_view> pattern;
    segmentsOf(found->path, pattern);
    for (std::size_t at = 0; at < pattern.size() && at < segments.size(); ++at)
        if (isName(pattern[at])) taken.names.emplace_back(pattern[at].substr(1), segments[at]);
    return taken;
}

std::optional<Taken> findPlainly(const std::vector<Route>& routes, std::string_view path,
                                 std::string_view method, const HeaderOf& header) {
    std::vector<std::string_view> segments, pattern;
    if (!segmentsOf(path, segments)) return std::nullopt;
    // How good a match is, segment by segment: 3 a word, 2 any one, 1 whatever follows; then its conditions.
    std::optional<std::pair<std::vector<int>, std::size_t>> best;
    const Route* found = nullptr;
    for (const Route& route : routes) {
        if (!fits(route, method, header)) continue;
        segmentsOf(route.path, pattern);
        std::vector<int> rank;
        bool matches = true;
        for (std::size_t at = 0; matches && at < pattern.size(); ++at) {
            if (at + 1 == pattern.size() && pattern[at] == "*") {
                rank.push_back(1);
                break;
            }
            matches = at < segments.size() && (isName(pattern[at]) || pattern[at] == segments[at]);
            rank.push_back(isName(pattern[at]) ? 2 : 3);
        }
        const bool open = pattern.back() == "*";
        if (!matches || (!open && pattern.size() != segments.size())) continue;
        // One that ends where the path does comes before one that takes the nothing that follows.
        if (!open) rank.push_back(4);
        std::pair<std::vector<int>, std::size_t> value{rank, conditions(route)};
        if (!best || value > *best) best = value, found = &route;
    }
    if (found == nullptr) return std::nullopt;
    Taken taken{found, {}};
    segmentsOf(found->path, pattern);
    for (std::size_t at = 0; at < pattern.size() && at < segments.size(); ++at)
        if (isName(pattern[at])) taken.names.emplace_back(pattern[at].substr(1), segments[at]);
    return taken;
}

}  // namespace cottonwing::routing
