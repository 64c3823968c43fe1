// Reads what cereal's portable binary archive wrote, without trusting the lengths in it.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace lycheeledge {

/**
 * @brief Input archive over a text in memory.
 *
 * cereal resizes strings and vectors to the length it reads before it reads their content, so that 8 damaged bytes can
 * make it allocate and fill all memory of the machine. Here a length that exceeds the bytes left is an error. All
 * errors are exceptions of type cereal::Exception.
 */
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit BoundedInputArchive(std::string_view buf)
        : InputArchive(this)
        , m_left(buf)
    {
        constexpr std::uint8_t littleEndian = 1; // first byte of the format
        std::uint8_t order = 0;
        read(&order, sizeof order);
        if (order != littleEndian)
            throw cereal::Exception("message has an unknown byte order");
    }

    void read(void* data, std::size_t n)
    {
        checkLength(n);
        if (n == 0)
            return;
        std::memcpy(data, m_left.data(), n);
        m_left.remove_prefix(n);
    }

    /** @brief Checks a number of elements; each takes at least one byte. */
    void checkLength(std::uint64_t n) const
    {
        if (n > m_left.size())
            throw cereal::Exception("message is shorter than the lengths in it");
    }

    bool atEnd() const { return m_left.empty(); }

private:
    std::string_view m_left;
};

} // namespace lycheeledge

namespace cereal {

// NOLINTBEGIN(readability-identifier-naming): names that cereal looks up

template <typename T>
requires(std::is_arithmetic_v<T>) void CEREAL_LOAD_FUNCTION_NAME(lycheeledge::BoundedInputArchive& archive, T& value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.read(&byte, sizeof byte);
        if (byte > 1)
            throw Exception("message has a malformed truth value");
        value = byte == 1;
    } else {
        archive.read(&value, sizeof value);
    }
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(lycheeledge::BoundedInputArchive& archive, NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <typename T> void CEREAL_SERIALIZE_FUNCTION_NAME(lycheeledge::BoundedInputArchive& archive, SizeTag<T>& tag)
{
    archive(tag.size);
    archive.checkLength(tag.size);
}

template <typename T> void CEREAL_LOAD_FUNCTION_NAME(lycheeledge::BoundedInputArchive& archive, BinaryData<T>& data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

namespace traits::detail {

    // save_minimal() of a type must return what load_minimal() takes; cereal compares them through this pair.
    template <> struct get_output_from_input<lycheeledge::BoundedInputArchive> {
        using type = PortableBinaryOutputArchive;
    };

} // namespace traits::detail

// NOLINTEND(readability-identifier-naming)

} // namespace cereal
