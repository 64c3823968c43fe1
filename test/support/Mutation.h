// Random changes of valid messages, for tests of decoders.
#pragma once

#include <rapidcheck.h>

#include <cstddef>
#include <string>

namespace lycheeledge::test {

/** @brief Generates a changed copy of `text`: bytes replaced, removed, inserted or repeated, or the end cut off. */
inline std::string mutate(std::string text)
{
    const int count = *rc::gen::inRange(1, 6);
    for (int n = 0; n < count && !text.empty(); ++n) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(1, 20);
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, 1, *rc::gen::element('"', '{', '}', '[', ']', ',', ':', '-', '9', 'e', '.', '\\'));
            break;
        case 3:
            text.insert(at, text.substr(at, length));
            break;
        case 4:
            text.resize(at);
            break;
        default:
            text.insert(at,
                *rc::gen::element<std::string>(
                    "null", "true", "-1", "1e400", "99999999999999999999", "{}", "[]", "\"\"", "\\u0000", "\xff"));
            break;
        }
    }
    return text;
}

} // namespace lycheeledge::test
