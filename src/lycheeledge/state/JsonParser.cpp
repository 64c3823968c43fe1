// Replaces numbers that the JSON parser rejects.

#include "JsonParser.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <cmath>

namespace lycheeledge::detail {

namespace {

    constexpr std::string_view numberCharacters = "+-.0123456789Ee";
    constexpr std::string_view replacement = "false";

    bool isHuge(std::string_view number)
    {
        double value = 0;
        return absl::SimpleAtod(absl::string_view(number.data(), number.size()), &value) && std::isinf(value);
    }

    /** @return length of the quoted string that the text starts with. */
    std::size_t stringLength(std::string_view text)
    {
        std::size_t end = 1;
        while (end < text.size() && text[end] != '"')
            end += text[end] == '\\' ? 2 : 1;
        return std::min(end + 1, text.size());
    }

} // namespace

std::string replaceHugeNumbers(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    while (!text.empty()) {
        const bool isNumber = text.front() == '-' || absl::ascii_isdigit(static_cast<unsigned char>(text.front()));
        std::size_t length = 1;
        if (isNumber)
            length = std::min(text.find_first_not_of(numberCharacters), text.size());
        else if (text.front() == '"')
            length = stringLength(text);
        const std::string_view token = text.substr(0, length);
        result += isNumber && isHuge(token) ? replacement : token;
        text.remove_prefix(length);
    }
    return result;
}

} // namespace lycheeledge::detail
