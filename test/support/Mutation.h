// Damages a text in random ways, for tests of decoders.
#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge::test {

/** @brief Applies up to 8 edits: change, insert, erase, repeat, truncate, or insert a fragment of JSON. */
inline std::string mutated(std::string text)
{
    static const std::vector<std::string> fragments { "{", "}", "[", "]", "\"", ",", ":", "null", "true", "-1", "1e308",
        "99999999999999999999", "0.5", "\\u0000", "\\ud800", "\xff", "\xc3", "{\"a\":{}}", "[[[[[[[[", "//", "/*" };
    const auto edits = *rc::gen::inRange(1, 9);
    for (int n = 0; n < edits; ++n) {
        const auto at = text.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 16);
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            if (!text.empty())
                text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.insert(at, 1, *rc::gen::arbitrary<char>());
            break;
        case 2:
            text.erase(at, length);
            break;
        case 3:
            text.insert(at, text.substr(at, length));
            break;
        case 4:
            if (*rc::gen::inRange(0, 8) == 0)
                text.resize(at);
            break;
        default:
            text.insert(at, *rc::gen::elementOf(fragments));
            break;
        }
    }
    return text;
}

} // namespace lycheeledge::test
