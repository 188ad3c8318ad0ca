// Package golden contains compatibility tests for formats that must not change between versions: stored records,
// messages, frames, files and the output of commands. The tests compare with the golden files under testdata, byte for
// byte. After an intended change of a format, run them with -update to rewrite the golden files, and run them twice,
// because some tests read files that others write.
package golden
