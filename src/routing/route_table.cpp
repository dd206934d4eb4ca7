#include "routing/route_table.h"

#include <algorithm>
#include <stdexcept>
#include <unordered_map>

namespace cottonwing::routing {

namespace {

// "/a/b" has the segments "a" and "b", "/a/" has "a" and an empty one, "/" has one empty segment. Returns
// false for a path that does not begin with a slash or has too many segments.
bool splitSegments(std::string_view path, std::vector<std::string_view>& to) {
    to.clear();
    if (path.empty() || path.front() != '/') return false;
    for (std::size_t index = 1;;) {
        const std::size_t end = std::min(path.find('/', index), path.size());
        to.push_back(path.substr(index, end - index));
        if (to.size() > RouteTable::kMaxSegments) return false;
        if (end == path.size()) return true;
        index = end + 1;
    }
}

bool isParameter(std::string_view segment) { return segment.size() > 1 && segment.front() == ':'; }

bool matchesConditions(const Route& route, std::string_view method, const HeaderLookup& header) {
    if (!route.methods.empty() &&
        std::find(route.methods.begin(), route.methods.end(), method) == route.methods.end())
        return false;
    return std::all_of(route.headers.begin(), route.headers.end(), [&](const auto& required) {
        return header(required.first) == std::string_view(required.second);
    });
}

std::size_t conditionCount(const Route& route) {
    return (route.methods.empty() ? 0 : 1) + route.headers.size();
}

struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
};

}  // namespace

struct RouteTable::Node {
    std::unordered_map<std::string, std::unique_ptr<Node>, Hash, std::equal_to<>> literalChildren;
    std::unique_ptr<Node> parameterChild;  // matches any one segment
    std::vector<std::unique_ptr<Route>> exactRoutes,
        prefixRoutes;  // end at this node; match any remainder
};

RouteTable::RouteTable() : root_(std::make_unique<Node>()) {}
RouteTable::~RouteTable() = default;
RouteTable::RouteTable(RouteTable&&) noexcept = default;
RouteTable& RouteTable::operator=(RouteTable&&) noexcept = default;

std::optional<std::string> RouteTable::patternError(std::string_view path) {
    if (path.empty() || path.front() != '/') return "a path that begins with '/' was expected";
    std::vector<std::string_view> segments;
    if (!splitSegments(path, segments))
        return "at most " + std::to_string(kMaxSegments) + " segments were expected";
    for (std::size_t index = 0; index < segments.size(); ++index) {
        if (segments[index] == ":") return "a name was expected after ':'";
        if (segments[index].find('*') != std::string_view::npos &&
            (segments[index] != "*" || index + 1 != segments.size()))
            return "'*' was expected only as the last segment, '/*'";
    }
    return std::nullopt;
}

const Route* RouteTable::add(Route route) {
    if (const auto error = patternError(route.path)) throw std::invalid_argument(route.path + ": " + *error);
    std::vector<std::string_view> segments;
    splitSegments(route.path, segments);
    const bool below = segments.back() == "*";
    if (below) segments.pop_back();
    Node* node = root_.get();
    for (const std::string_view segment : segments) {
        std::unique_ptr<Node>& next =
            isParameter(segment) ? node->parameterChild : node->literalChildren[std::string(segment)];
        if (!next) next = std::make_unique<Node>();
        node = next.get();
    }
    auto& list = below ? node->prefixRoutes : node->exactRoutes;
    // Routes with more conditions come first, among equals the one added earlier.
    auto position = list.begin();
    for (; position != list.end() && conditionCount(**position) >= conditionCount(route); ++position)
        if ((*position)->methods == route.methods && (*position)->headers == route.headers)
            return position->get();
    list.insert(position, std::make_unique<Route>(std::move(route)));
    ++size_;
    return nullptr;
}

std::optional<RouteMatch> RouteTable::find(std::string_view path, std::string_view method,
                                           const HeaderLookup& header) const {
    std::vector<std::string_view> segments;
    if (!splitSegments(path, segments)) return std::nullopt;
    const auto firstMatching = [&](const std::vector<std::unique_ptr<Route>>& list) -> const Route* {
        for (const auto& route : list)
            if (matchesConditions(*route, method, header)) return route.get();
        return nullptr;
    };
    // Depth first: the literal segment, then the parameter, then the prefix routes. Backtracking is bounded
    // by the depth, and each node has one parent, so that no path through the trie is searched twice.
    const Route* found = nullptr;
    const auto search = [&](const auto& self, const Node& node, std::size_t index) -> bool {
        if (index == segments.size()) {
            if ((found = firstMatching(node.exactRoutes)) != nullptr) return true;
            return (found = firstMatching(node.prefixRoutes)) != nullptr;
        }
        if (const auto literal = node.literalChildren.find(segments[index]);
            literal != node.literalChildren.end() && self(self, *literal->second, index + 1))
            return true;
        if (node.parameterChild && self(self, *node.parameterChild, index + 1)) return true;
        return (found = firstMatching(node.prefixRoutes)) != nullptr;
    };
    if (!search(search, *root_, 0)) return std::nullopt;
    RouteMatch match{found, {}};
    std::vector<std::string_view> pattern;
    splitSegments(found->path, pattern);
    for (std::size_t index = 0; index < pattern.size() && index < segments.size(); ++index)
        if (isParameter(pattern[index]))
            match.parameters.emplace_back(pattern[index].substr(1), segments[index]);
    return match;
}

std::optional<RouteMatch> findByLinearSearch(const std::vector<Route>& routes, std::string_view path,
                                             std::string_view method, const HeaderLookup& header) {
    std::vector<std::string_view> segments, pattern;
    if (!splitSegments(path, segments)) return std::nullopt;
    // Precedence by segment (3: literal, 2: parameter, 1: "/*"), then by the number of conditions.
    std::optional<std::pair<std::vector<int>, std::size_t>> best;
    const Route* found = nullptr;
    for (const Route& route : routes) {
        if (!matchesConditions(route, method, header)) continue;
        splitSegments(route.path, pattern);
        std::vector<int> rank;
        bool matches = true;
        for (std::size_t index = 0; matches && index < pattern.size(); ++index) {
            if (index + 1 == pattern.size() && pattern[index] == "*") {
                rank.push_back(1);
                break;
            }
            matches =
                index < segments.size() && (isParameter(pattern[index]) || pattern[index] == segments[index]);
            rank.push_back(isParameter(pattern[index]) ? 2 : 3);
        }
        const bool isPrefix = pattern.back() == "*";
        if (!matches || (!isPrefix && pattern.size() != segments.size())) continue;
        // A route that ends with the path has precedence over one whose "/*" matches an empty remainder.
        if (!isPrefix) rank.push_back(4);
        std::pair<std::vector<int>, std::size_t> precedence{rank, conditionCount(route)};
        if (!best || precedence > *best) best = precedence, found = &route;
    }
    if (found == nullptr) return std::nullopt;
    RouteMatch match{found, {}};
    splitSegments(found->path, pattern);
    for (std::size_t index = 0; index < pattern.size() && index < segments.size(); ++index)
        if (isParameter(pattern[index]))
            match.parameters.emplace_back(pattern[index].substr(1), segments[index]);
    return match;
}

}  // namespace cottonwing::routing
