#include "wagtailhead/compression.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

Test(compression, gives_back_what_it_took)
{
    std::string repeated;
    for (int i = 0; i < 20000; ++i) {
        repeated += R"({"name":"r-)" + std::to_string(i) + R"(","kind":"safe"},)";
    }
    for (const auto& text : { std::string(), std::string("a"), std::string("\0\xff", 2), repeated }) {
        const auto bytes = compressText(text);
        const auto back = decompressText(bytes, repeated.size());
        cr_assert(isOk(back) && valueOf(back) == text);
    }
    cr_assert(compressText(repeated).size() < repeated.size() / 8);
}

Test(compression, refuses_foreign_cut_and_long_texts)
{
    const auto bytes = compressText(std::string(100000, 'x'));
    cr_assert(!isOk(decompressText("", 10)));
    cr_assert(!isOk(decompressText("hello", 10)));
    cr_assert(!isOk(decompressText(bytes.substr(0, bytes.size() - 1), 100000)));
    cr_assert(!isOk(decompressText(bytes + "x", 100000)));
    cr_assert(!isOk(decompressText(bytes, 99999)), "a small message must not fill the memory");
}
