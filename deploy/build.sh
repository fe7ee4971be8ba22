# Installs the run-time dependencies and the product's packages into target/deps.
set -eu
deps=target/deps
stamp=target/built
sources="packages/model packages/decisions packages/wire packages/front platform"
newest=$(find deploy $sources -name '*.py' -newer "$stamp" -o -name '*.toml' -newer "$stamp" -o -name '*.txt' -newer "$stamp" 2>/dev/null | head -n 1 || true)
if [ -f "$stamp" ] && [ -z "$newest" ]; then exit 0; fi
mkdir -p "$deps"
python3 -m pip install -q --disable-pip-version-check --no-deps -U --target "$deps" -r deploy/requirements.txt
for source in $sources; do
  cp -R "$source"/src/flamingolift_* "$deps"/
done
find "$deps" -type d -name tests -prune -exec rm -rf {} +
python3 -m compileall -q "$deps"
touch "$stamp"
