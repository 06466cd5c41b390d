// An unmodified OpenAI client against a router: node ask.js URL KEY MODEL
import OpenAI from "openai";

const [url, apiKey, model] = process.argv.slice(2);
const client = new OpenAI({ baseURL: `${url}/v1`, apiKey, maxRetries: 0 });

const stream = await client.chat.completions.create({
  model,
  stream: true,
  max_tokens: 5,
  messages: [{ role: "user", content: "Why did unit 7 alarm?" }],
});
for await (const chunk of stream) {
  process.stdout.write(chunk.choices[0]?.delta?.content ?? "");
}
console.log();

const whole = await client.chat.completions.create({
  model,
  max_tokens: 5,
  messages: [{ role: "user", content: "Which units alarmed?" }],
});
console.log(whole.choices[0].message.content, JSON.stringify(whole.usage));
const models = await client.models.list();
console.log(models.data.map((each) => each.id).join(" "));
